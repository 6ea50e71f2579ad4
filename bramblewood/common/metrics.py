"""Counters in the text form that operators scrape. Names are bounded: they come from the program, never from
a call.
"""


def text(values: dict[str, float]) -> str:
    return "".join(f"bramblewood_{name} {value}\n" for name, value in sorted(values.items()))
