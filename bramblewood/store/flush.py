"""Flushes: begun, and found done later. In the loop, or by a process, so that a slow disc stalls nobody."""

import os
import select
import subprocess
import sys
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:  # the process runs this file by itself
    from .port import Folder, Port

FOLDER = ""  # the name that stands for the folder itself
ENDING = 0.1  # s that a stop waits for the process; it may be held by a disc that hangs
ASKED = 1 << 16  # bytes read of answers at once


class Flusher(Protocol):
    """Flushes named files in the order given; one that fails ends its begin with the error's text."""

    def begin(self, names: list[tuple[str, int | None]]) -> int: ...
    def done(self) -> list[tuple[int, str | None]]: ...
    def waker(self) -> int | None: ...
    def wait(self, seconds: float) -> None: ...
    def end(self) -> None: ...


class InLoop:
    """Flushes at once, in the caller's turn."""

    def __init__(self, port: "Port") -> None:
        self.port, self.count, self.ended = port, 0, []

    def begin(self, names: list[tuple[str, int | None]]) -> int:
        self.count += 1
        try:
            for name, handle in names:
                if name == FOLDER:
                    self.port.flush_folder()
                else:
                    self.port.flush(handle)
            self.ended.append((self.count, None))
        except OSError as problem:
            self.ended.append((self.count, problem.strerror or str(problem)))
        return self.count

    def done(self) -> list[tuple[int, str | None]]:
        ended, self.ended = self.ended, []
        return ended

    def waker(self) -> int | None:
        """Done within the turn: there is nothing to be woken by."""

    def wait(self, seconds: float) -> None:
        """Nothing is ever out."""

    def end(self) -> None:
        """Nothing is kept."""


class Apart:
    """Has a process flush: a line out for each begin, a line back when it is done. It opens by name.

    The system tells an error in writing a file back to everyone who had it open, or opens it next.
    """

    def __init__(self, folder: "Folder") -> None:
        self.folder, self.count, self.begun, self.partial = folder, 0, {}, b""
        self.process: subprocess.Popen | None = None
        self.start()

    def start(self) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-I", "-S", os.path.abspath(__file__), self.folder.path],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            start_new_session=True,
        )
        os.set_blocking(self.process.stdout.fileno(), False)
        os.set_blocking(self.process.stdin.fileno(), False)

    def waker(self) -> int | None:
        """The descriptor that tells of a flush that is done; another one if the process was lost."""
        return self.process.stdout.fileno()

    def wait(self, seconds: float) -> None:
        """Till something is done, but no longer than that."""
        select.select([self.process.stdout], [], [], seconds)

    def begin(self, names: list[tuple[str, int | None]]) -> int:
        self.count += 1
        self.begun[self.count] = None
        try:
            line = " ".join([str(self.count), *(name or "." for name, _ in names)])
            os.write(self.process.stdin.fileno(), line.encode() + b"\n")
        except OSError as problem:
            self.begun[self.count] = f"no flushing process: {problem.strerror}"
        return self.count

    def done(self) -> list[tuple[int, str | None]]:
        try:
            data = os.read(self.process.stdout.fileno(), ASKED)
        except BlockingIOError:
            data = None
        if data == b"":  # it has ended: whatever was out is unknown, so failed
            self.process.kill()
            self.end()
            failed = [(token, "the flushing process ended") for token in self.begun]
            self.begun.clear()
            self.partial = b""
            self.start()
            return failed
        failed = [(token, problem) for token, problem in self.begun.items() if problem]
        for token, _ in failed:
            del self.begun[token]
        *lines, self.partial = (self.partial + (data or b"")).split(b"\n")
        ended = []
        for line in lines:
            token, _, problem = line.decode().partition(" ")
            if self.begun.pop(int(token), "unknown") != "unknown":
                ended.append((int(token), problem or None))
        return failed + ended

    def end(self) -> None:
        """Let it go: it ends with its pipe, after what it was asked for; one that hangs holds up nobody."""
        for pipe in (self.process.stdin, self.process.stdout):
            pipe.close()
        try:
            self.process.wait(ENDING)
        except subprocess.TimeoutExpired:
            pass


def serve(folder: str) -> None:
    """The flushing process: lines of a number and names in, the number and what failed out, until the end."""
    import signal

    for number in (signal.SIGHUP, signal.SIGINT, signal.SIGTERM):
        signal.signal(number, signal.SIG_IGN)  # it ends with its pipe, after what was asked for
    at, handles = os.open(folder, os.O_RDONLY | os.O_DIRECTORY), {}
    for line in sys.stdin.buffer:
        token, *names = line.decode().split()
        problem = ""
        for name in names:
            try:
                if name == ".":
                    os.fsync(at)
                    continue
                if name not in handles:
                    while len(handles) >= 8:  # logs and tables come and go
                        os.close(handles.pop(next(iter(handles))))
                    handles[name] = os.open(name, os.O_RDWR, dir_fd=at)
                os.fdatasync(handles[name])
            except OSError as fault:
                problem = fault.strerror
                break
        try:
            os.write(sys.stdout.fileno(), f"{token} {problem}\n".encode())
        except BrokenPipeError:  # who asked has gone
            return


if __name__ == "__main__":
    serve(sys.argv[1])
