/**
Reads a whole small answer that the gateway itself uses, within a bound of bytes and of time.

It goes through the same connection code as the attempts of requests, so what a faulty target may
send costs no more here than there.
*/
import {err, ok, type Result} from 'neverthrow';
import {ByteAccumulator} from '../shared/byte-accumulator.js';
import type {Timers} from '../shared/timers.js';
import type {TargetConnection} from './target-connection.js';

type Request = Parameters<TargetConnection['send']>[0];
type Headers = Parameters<Parameters<TargetConnection['send']>[1]['onHead']>[1];

type WholeAnswer = {readonly status: number; readonly headers: Headers; readonly body: Uint8Array};

type Bounds = {readonly maxBytes: number; readonly timeoutMilliseconds: number; readonly timers: Timers};

const timeoutReason = 'not answered in time';
const tooLargeReason = 'answer too large';

/**
Resolves with the answer, or with the reason why there is none.

@example
```
const answer = await readWholeAnswer(connection, request, {maxBytes: 65_536, timeoutMilliseconds: 500, timers});
```
*/
export const readWholeAnswer = async (connection: TargetConnection, request: Request, {maxBytes, timeoutMilliseconds, timers}: Bounds): Promise<Result<WholeAnswer, string>> => new Promise(resolve => {
	const body = new ByteAccumulator();
	let head: {readonly status: number; readonly headers: Headers} | undefined;
	let abort: (reason: string) => void = () => undefined;
	const cancelTimeout = timers.after(timeoutMilliseconds, () => {
		abort(timeoutReason);
	});
	abort = connection.send(request, {
		mayStart: () => true,
		onHead(status, headers) {
			head = {status, headers};
		},
		onData(bytes) {
			body.append(bytes);
			if (body.length > maxBytes) {
				abort(tooLargeReason);
			}
		},
		onEnd(end) {
			cancelTimeout();
			resolve(end.kind === 'complete' && head !== undefined ? ok({...head, body: body.take()}) : err('reason' in end ? end.reason : ''));
		},
	});
});
