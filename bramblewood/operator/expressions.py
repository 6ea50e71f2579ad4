"""A parser for S-expressions that records the line and column of each expression.

An expression is a list in parentheses, a bare word, a string in double quotes or a number. A `;` outside a
string begins a comment that ends with the line.
"""

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
ESCAPES = {"n": "\n", "t": "\t"}  # any other character after a backslash stands for itself


class ExpressionSyntaxError(Exception):
    """Raised for a text that is not a sequence of S-expressions. Lines and columns begin at 1."""

    def __init__(self, line: int, column: int, reason: str) -> None:
        super().__init__(f"line {line}, column {column}: {reason}")
        self.line, self.column, self.reason = line, column, reason


class Word(str):
    """A word without quotes. A string in quotes is a plain str."""


class Atom(NamedTuple):
    """A word, a string or a number, and the position of its first character. Lines and columns begin at 1."""

    value: Union[Word, str, int, float]
    line: int
    column: int


class ListExpression(NamedTuple):
    """A list in parentheses, and the position of its opening parenthesis. Lines and columns begin at 1."""

    items: tuple  # of Atom and ListExpression
    line: int
    column: int

    @property
    def head(self) -> str | None:
        """Returns the first item if it is a word, otherwise None."""
        first = self.items[0] if self.items else None
        return first.value if isinstance(first, Atom) and isinstance(first.value, Word) else None


def parse_expressions(text: str) -> tuple:
    """Returns the top-level expressions of a text in order. Raises ExpressionSyntaxError."""
    try:
        tree = PARSER.parse(text)
    except UnexpectedEOF:
        raise ExpressionSyntaxError(
            text.count("\n") + 1, 1, "the text ends inside a list, before its closing parenthesis"
        ) from None
    except UnexpectedCharacters as error:
        raise ExpressionSyntaxError(
            error.line,
            error.column,
            f"expected a list, a word, a number or a string, found {error.char!r}",
        ) from None
    except UnexpectedInput as error:
        token = getattr(error, "token", "")
        if getattr(token, "type", "") == "$END":
            raise ExpressionSyntaxError(
                text.count("\n") + 1, 1, "the text ends inside a list, before its closing parenthesis"
            ) from None
        raise ExpressionSyntaxError(
            error.line,
            error.column,
            f"expected a list, a word, a number or a string, found {str(token)!r:.20}",
        ) from None
    return tuple(build_expression(child) for child in tree.children)


def build_expression(node: Tree) -> ListExpression | Atom:
    """Returns the expression for a `list` or `atom` node of the syntax tree."""
    if node.data == "list":
        return ListExpression(
            tuple(build_expression(child) for child in node.children), node.meta.line, node.meta.column
        )
    token: Token = node.children[0]
    if token.type == "TEXT":
        content, unescaped = str(token)[1:-1], []
        characters = iter(content)
        for char in characters:
            if char == "\\":
                char = next(characters)
                char = ESCAPES.get(char, char)
            unescaped.append(char)
        return Atom("".join(unescaped), token.line, token.column)
    if token.type == "NUMBER":
        number = str(token)
        is_integer = number.lstrip("+-").isdigit()
        return Atom(int(number) if is_integer else float(number), token.line, token.column)
    return Atom(Word(token), token.line, token.column)
