"""Exit codes of all commands."""

DONE, FOUND, FAULTY = 0, 1, 2  # done; damage or no such thing; faulty words, file or folder
