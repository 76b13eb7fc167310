/**
Answers that are streams of events, and answers whose body does not end.
*/
import {Buffer} from 'node:buffer';

const blockBytes = 65_536;
const tickMilliseconds = 5;
/** Bytes that may wait for a caller that does not read. */
const maxUnsentBytes = 1_000_000;

/** Events with the numbers `from` to `to`, as they are on the wire. */
export const events = (from, to) => Array.from({length: Math.max(0, to - from + 1)}, (_, index) => `id: ${from + index}\ndata: token ${from + index}\n\n`).join('');

/** The head of a stream of events, chunked, with the signature of the replica. */
export const writeStreamHead = (response, arrival) => {
	response.writeHead(200, {
		'content-type': 'text/event-stream', 'x-request-id': arrival.requestId, 'x-response-signature': `proof.${arrival.replica}`,
	});
	response.flushHeaders();
};

/** Writes a sound stream of `count` events at this pace; goes on after the event that the request names. */
export const answerStream = (response, arrival, {count, gapMilliseconds}) => {
	writeStreamHead(response, arrival);
	let next = Number(arrival.headers['last-event-id'] ?? 0) + 1;
	const timer = setInterval(() => {
		if (next > count) {
			clearInterval(timer);
			response.end();
			return;
		}

		response.write(events(next, next));
		next++;
	}, gapMilliseconds);
	response.once('close', () => {
		clearInterval(timer);
	});
};

/** Writes a body that does not end, at this rate, until the caller closes. */
export const writeWithoutEnd = (response, megabytesPerSecond) => {
	const block = Buffer.alloc(blockBytes, 'x');
	const startedAt = performance.now();
	let written = 0;
	const timer = setInterval(() => {
		const due = (performance.now() - startedAt) / 1000 * megabytesPerSecond * 1_000_000;
		while (written < due && response.writableLength < maxUnsentBytes) {
			written += blockBytes;
			response.write(block);
		}
	}, tickMilliseconds);
	response.once('close', () => {
		clearInterval(timer);
	});
};
