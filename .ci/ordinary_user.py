"""Runs commands as the deploy page promises: as an ordinary user, in an environment of their own."""

import dataclasses
import os
import pathlib
import signal
import subprocess

# nobody and nogroup of Debian's base system.
USER_ID = 65534
GROUP_ID = 65534
SIGNAL_EXIT_CODES = 128  # and the signal's number, as a shell tells it
SEARCH_PATH = "/usr/local/bin:/usr/bin:/bin"


@dataclasses.dataclass(frozen=True)
class OrdinaryUser:
    """A user without rights of its own who works in `folder` and may write to `temporary`, which serves as its home.

    Where the caller is root, commands run under nobody's ids; elsewhere the caller is ordinary already.
    """

    folder: pathlib.Path
    temporary: pathlib.Path

    def prepare(self) -> None:
        """Gives the user an empty temporary folder, and `folder` with all that it holds."""
        self.temporary.mkdir(exist_ok=True)
        self._own(self.temporary)
        for path in [self.folder, *self.folder.rglob("*")]:
            self._own(path)

    def make_folder_read_only(self) -> None:
        """Nothing in `folder` can be written any more, as when the platform starts the programs."""
        for path in [*self.folder.rglob("*"), self.folder]:
            if not path.is_symlink():
                path.chmod(path.stat().st_mode & ~0o222)
            if os.geteuid() == 0:
                os.lchown(path, 0, 0)

    def run(self, command: list[str], timeout_seconds: float) -> subprocess.CompletedProcess[str]:
        """Runs `command` at the end of input; its output and errors come as one text, its processes end with it.

        A program that a signal ended has the exit code that a shell gives it. Raises subprocess.TimeoutExpired.
        """
        identity = {"user": USER_ID, "group": GROUP_ID, "extra_groups": []} if os.geteuid() == 0 else {}
        environment = {"PATH": SEARCH_PATH, "HOME": str(self.temporary), "TMPDIR": str(self.temporary)}
        process = subprocess.Popen(
            command,
            cwd=self.folder,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            errors="replace",
            start_new_session=True,
            **identity,
        )
        try:
            output, _ = process.communicate(timeout=timeout_seconds)
        finally:
            try:
                os.killpg(process.pid, signal.SIGKILL)
            except ProcessLookupError:
                pass
            process.wait()
        code = process.returncode if process.returncode >= 0 else SIGNAL_EXIT_CODES - process.returncode
        return subprocess.CompletedProcess(command, code, output)

    def _own(self, path: pathlib.Path) -> None:
        if os.geteuid() == 0:
            os.lchown(path, USER_ID, GROUP_ID)
