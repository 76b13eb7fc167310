/**
The log sink never blocks on a slow output, and counts the lines that it drops.
*/
import {test} from 'tap';
import {LogSink} from '../../source/entry/log-sink.js';

type Callback = (error: Error | null) => void; // eslint-disable-line @typescript-eslint/no-restricted-types

test('while the output is slow, lines are buffered, lines beyond the limit are dropped, and their count is written later', t => {
	const written: string[] = [];
	const callbacks: Callback[] = [];
	let now = 0;
	const sink = new LogSink(() => now, (text, callback) => {
		written.push(text);
		callbacks.push(callback);
	});
	const line = 'x'.repeat(1000);
	for (let index = 0; index < 1000; index++) {
		now += 10;
		sink.write(line);
	}

	t.equal(written.length, 1, 'one write is under way');
	t.ok(sink.dropped > 400);
	const {dropped} = sink;
	callbacks[0]!(null);
	t.equal(written.length, 2);
	sink.write(line);
	callbacks[1]!(null);
	t.ok(written.at(-1)!.includes(`"count":${dropped}`));
	t.end();
});

test('the rate limit drops most lines of a burst', t => {
	const lines: string[] = [];
	const sink = new LogSink(() => 0, (text, callback) => {
		lines.push(...text.trim().split('\n'));
		callback(null);
	});
	for (let index = 0; index < 5000; index++) {
		sink.write('{}');
	}

	t.ok(lines.length <= 1200);
	t.equal(sink.dropped, 5000 - lines.length);
	t.end();
});
