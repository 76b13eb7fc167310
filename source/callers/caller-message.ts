/**
A caller's request as Node's HTTP server creates it, with a body that costs nothing but its bytes.

The parser reports each chunk of a chunked body by itself. A stream makes an entry and an event for
each of them, which is too much for bodies in chunks of one byte.
*/
import http from 'node:http';

type BodyReceiver = {
	readonly receive: (piece: Uint8Array) => void;
	/** The body has arrived whole; the stream's `end` follows. */
	readonly complete: () => void;
};

/**
Hands the pieces of its body to `receiver`. As a stream it is empty, and it ends when the body does.

@example
```
http.createServer({IncomingMessage: CallerMessage}, request => {
	request.receiver = receiver;
	request.resume();
});
```
*/
export class CallerMessage extends http.IncomingMessage {
	receiver: BodyReceiver | undefined;

	/** Called by the HTTP parser; false would stop its reading. */
	override push(piece: Uint8Array | null): boolean { // eslint-disable-line @typescript-eslint/no-restricted-types
		if (piece === null) {
			this.receiver?.complete();
			return super.push(null);
		}

		this.receiver?.receive(piece);
		return true;
	}
}
