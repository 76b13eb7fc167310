/**
Collects the pieces of a body that is used as a whole.
*/
import {ByteAccumulator} from './byte-accumulator.js';

/**
Resolves with all bytes; rejects when there are more than `maxBytes`, and stops reading then.

@example
```
const bytes = await collectBytes(response.body, 65_536);
```
*/
export const collectBytes = async (pieces: AsyncIterable<Uint8Array>, maxBytes: number): Promise<Uint8Array> => {
	const collected = new ByteAccumulator();
	for await (const piece of pieces) {
		collected.append(piece);
		if (collected.length > maxBytes) {
			throw new Error(`more than ${maxBytes} bytes`);
		}
	}

	return collected.take();
};
