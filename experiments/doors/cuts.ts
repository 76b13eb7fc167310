/**
Ways in which a faulty target may cut the bytes of an answer that does not end.
*/
import {Buffer} from 'node:buffer';

type Cut = {
	readonly name: string;
	/** Whose answer it is: of an engine to a prompt, of an engine to a question on its cache, or of a target of a plain service. */
	readonly from: 'engine' | 'cache of an engine' | 'plain target';
	readonly status: '200 OK' | '500 Internal Server Error';
	/** Bytes that are repeated without end, framed already. */
	readonly block: Uint8Array;
};

const blockBytes = 65_536;

/** One chunk of a chunked body that holds this text again and again. */
const chunkOf = (text: string): Uint8Array => {
	const body = text.repeat(Math.max(1, Math.floor(blockBytes / text.length)));
	return Buffer.from(`${body.length.toString(16)}\r\n${body}\r\n`, 'latin1');
};

/** Many chunks of a chunked body, as they are on the wire. */
const chunksOf = (chunk: string): Uint8Array => Buffer.from(chunk.repeat(Math.floor(blockBytes / chunk.length)), 'latin1');

const ofEngine = (name: string, block: Uint8Array): Cut => ({
	name, from: 'engine', status: '200 OK', block,
});

/**
Every cut by which a gateway may be made to work more than the bytes suggest.

@example
```
cuts.map(({name}) => name);
```
*/
export const cuts: readonly Cut[] = [
	ofEngine('blank lines, LF', chunkOf('\n')),
	ofEngine('blank lines, CRLF', chunkOf('\r\n')),
	ofEngine('events of one comment', chunkOf(':\n\n')),
	ofEngine('events of ten bytes', chunkOf('data: x\n\n')),
	ofEngine('events of an id and one byte', chunkOf('id: 1\ndata:x\n\n')),
	ofEngine('events of 1 KB', chunkOf(`id: 1\ndata: ${'x'.repeat(1000)}\n\n`)),
	ofEngine('lines without the end of an event', chunkOf('data: x\n')),
	ofEngine('words that look like an id', chunkOf('xid:')),
	ofEngine('chunks of one byte', chunksOf('1\r\nx\r\n')),
	ofEngine('chunks of one line feed', chunksOf('1\r\n\n\r\n')),
	ofEngine('chunks with an extension', chunksOf('1;a=b\r\nx\r\n')),
	ofEngine('chunks with a long extension', chunksOf(`1;a=${'b'.repeat(1000)}\r\nx\r\n`)),
	{
		name: 'chunks of one byte, a report of the cache', from: 'cache of an engine', status: '200 OK', block: chunksOf('1\r\nx\r\n'),
	},
	{
		name: 'chunks of one byte, plain', from: 'plain target', status: '200 OK', block: chunksOf('1\r\nx\r\n'),
	},
	{
		name: 'chunks of one byte, a failure', from: 'plain target', status: '500 Internal Server Error', block: chunksOf('1\r\nx\r\n'),
	},
];
