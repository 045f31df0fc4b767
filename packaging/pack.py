"""Build a self-extracting executable: ``pack.py LAUNCHER FOLDER OUTPUT``.

The output is the launcher, the archive of the folder, the archive's size and its digest.
"""

import hashlib
import shutil
import struct
import sys
from pathlib import Path


def pack_file(folder: Path, path: Path) -> bytes:
    """Return the archive entry of one file: header, name and content."""
    name = str(path.relative_to(folder)).encode()
    content = path.read_bytes()
    header = struct.pack("<IIQ", len(name), path.stat().st_mode & 0o700, len(content))
    return header + name + content


def main(launcher: str, folder: str, output: str) -> None:
    """Write the executable."""
    root = Path(folder)
    files = sorted(path for path in root.rglob("*") if path.is_file())
    payload = b"".join(pack_file(root, path) for path in files)
    digest = hashlib.sha256(payload).hexdigest()[:16].encode()
    target = Path(output)
    target.parent.mkdir(exist_ok=True)
    shutil.copy(launcher, target)
    with target.open("ab") as file:
        file.write(payload + struct.pack("<Q", len(payload)) + digest)
    target.chmod(0o755)


main(*sys.argv[1:])
