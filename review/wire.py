"""HTTP/1.1 messages over asyncio streams."""

import asyncio

_REASONS = {200: 'OK', 404: 'Not Found', 409: 'Conflict', 421: 'Misdirected'}


async def read_message(reader):
    """Return the first line, the headers in lower case and the body.

    None at the end of the connection.
    """
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError:
        return None
    line, *rest = head[:-4].decode('latin-1').split('\r\n')
    headers = {}
    for one in rest:
        name, _, text = one.partition(':')
        headers[name.strip().lower()] = text.strip()
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return line, headers, body


def write_response(writer, status, headers, body=b''):
    """Write a response with its length."""
    lines = [f'HTTP/1.1 {status} {_REASONS.get(status, "Status")}']
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    lines.append(f'Content-Length: {len(body)}')
    writer.write('\r\n'.join([*lines, '', '']).encode('latin-1') + body)


async def send_request(address, path, request_id, time_limit_ms):
    """Send one request on a new connection; return the status and headers.

    The status is 0 if no complete answer came.
    """
    host, port = address
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, port), 1
        )
    except (OSError, TimeoutError):
        return 0, {}
    try:
        writer.write(
            f'GET {path} HTTP/1.1\r\nHost: desk.example\r\n'
            f'Request-Id: {request_id}\r\n'
            f'Request-Deadline: {time_limit_ms}\r\n\r\n'.encode()
        )
        message = await asyncio.wait_for(
            read_message(reader), time_limit_ms / 1000 + 1
        )
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, {}
    finally:
        writer.close()
    if message is None:
        return 0, {}
    return int(message[0].split(' ')[1]), message[1]
