"""S-expressions with their places: lists, words, texts, numbers; `;` begins a comment."""

from typing import NamedTuple, Union

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedInput

GRAMMAR = r"""
start: item*
?item: list | atom
list: "(" item* ")"
atom: NUMBER | TEXT | WORD
TEXT: /"(\\.|[^"\\\n])*"/
NUMBER.2: /[+-]?(\d+\.?\d*|\.\d+)([eE][+-]?\d+)?(?=[\s();"]|$)/
WORD: /[^\s();"0-9][^\s();"]*/
COMMENT: /;[^\n]*/
%ignore COMMENT
%ignore /\s+/
"""
PARSER = Lark(GRAMMAR, parser="lalr", propagate_positions=True)
ESCAPES = {"n": "\n", "t": "\t"}


class Unclear(Exception):
    """What is no S-expression, with its place."""

    def __init__(self, line: int, column: int, what: str) -> None:
        super().__init__(f"line {line}, column {column}: {what}")
        self.line, self.column, self.what = line, column, what


class Word(str):
    """A bare name, as against a text in quotes."""


class Atom(NamedTuple):
    value: Union[Word, str, int, float]
    line: int
    column: int


class Form(NamedTuple):
    """A list in parentheses."""

    items: tuple
    line: int
    column: int

    @property
    def head(self) -> str | None:
        """The word that it begins with."""
        first = self.items[0] if self.items else None
        return first.value if isinstance(first, Atom) and isinstance(first.value, Word) else None


def read(text: str) -> tuple:
    """The expressions of a text; raises Unclear."""
    try:
        tree = PARSER.parse(text)
    except UnexpectedEOF:
        raise Unclear(text.count("\n") + 1, 1, "the text ends inside a list that is still open") from None
    except UnexpectedCharacters as problem:
        raise Unclear(
            problem.line,
            problem.column,
            f"expected a list, a word, a number or a text, found {problem.char!r}",
        ) from None
    except UnexpectedInput as problem:
        token = getattr(problem, "token", "")
        if getattr(token, "type", "") == "$END":
            raise Unclear(text.count("\n") + 1, 1, "the text ends inside a list that is still open") from None
        raise Unclear(
            problem.line, problem.column, f"expected a list, a word or a number, found {str(token)!r:.20}"
        ) from None
    return tuple(made(child) for child in tree.children)


def made(node: Tree) -> Form | Atom:
    if node.data == "list":
        return Form(tuple(made(child) for child in node.children), node.meta.line, node.meta.column)
    token: Token = node.children[0]
    if token.type == "TEXT":
        value, parts = str(token)[1:-1], []
        pieces = iter(value)
        for char in pieces:
            if char == "\\":
                char = next(pieces)
                char = ESCAPES.get(char, char)
            parts.append(char)
        return Atom("".join(parts), token.line, token.column)
    if token.type == "NUMBER":
        text = str(token)
        whole = text.lstrip("+-").isdigit()
        return Atom(int(text) if whole else float(text), token.line, token.column)
    return Atom(Word(token), token.line, token.column)
