/**
Writes the body of a faulty target that has no end.
*/
import {Buffer} from 'node:buffer';
import type http from 'node:http';

const piece = Buffer.alloc(65_536, 'x');

/**
Writes until the response closes, as fast as its reader takes it.

@example
```
target.answer = response => {
	response.writeHead(500);
	writeWithoutEnd(response);
};
```
*/
export const writeWithoutEnd = (response: http.ServerResponse): void => {
	const write = (): void => {
		while (!response.destroyed && response.write(piece)) {
			// The reader takes all of it.
		}
	};

	response.on('drain', write);
	response.on('error', () => {
		// The reader has closed the connection.
	});
	write();
};
