"""HTTP/1.1 messages, as far as the stand-ins need them."""

from asyncio import StreamReader
from dataclasses import dataclass


@dataclass
class Message:
    """One request or response; header names are in lower case."""

    first_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.first_line.split(' ')[1])


async def read_message(
    reader: StreamReader, *, has_body: bool = True
) -> Message | None:
    """Return the next message, None at the end of the connection.

    Raises EOFError if the connection ends inside a message.
    """
    first = await reader.readline()
    if not first:
        return None
    if not first.endswith(b'\n'):
        raise EOFError('the first line is incomplete')
    headers = {}
    while (line := await reader.readline()) not in {b'\r\n', b'\n'}:
        if not line.endswith(b'\n'):
            raise EOFError('the head is incomplete')
        name, _, text = line.decode('latin-1').partition(':')
        headers[name.strip().lower()] = text.strip()
    first_line = first.decode('latin-1').strip()
    length = int(headers.get('content-length', 0)) if has_body else 0
    if first_line.startswith('HTTP/1.1 1'):
        return await read_message(reader, has_body=has_body)
    return Message(first_line, headers, await reader.readexactly(length))


def encode(
    first_line: str,
    headers: dict[str, object],
    body: bytes = b'',
    *,
    has_length: bool = True,
) -> bytes:
    """Return the bytes of a message."""
    lines = [first_line]
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    if has_length:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body
