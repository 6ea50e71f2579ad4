"""Exit codes of all commands."""

SUCCESS = 0  # done, sound, or ended by SIGTERM
PROBLEM_FOUND = 1  # damage found, refused, or no such thing
INVALID_INPUT = 2  # invalid arguments, settings, file or folder; or nobody answers
