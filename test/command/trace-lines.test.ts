/**
Selection of the log lines of one request among the lines of several processes.
*/
import {test} from 'tap';
import {traceLines} from '../../source/command/trace-lines.js';

const line = (time: number, process: string, event: string, fields: Readonly<Record<string, unknown>>): string => JSON.stringify({
	context: {
		program: 'cowsliprudder', process, event, ...fields,
	}, message: event, sequence: '1', time, version: '2.0.0',
});

const lines = [
	line(900, 'edge-1', 'target gone', {target: 'i-1', source: 'store'}),
	line(950, 'edge-1', 'target gone', {target: 'i-9', source: 'store'}),
	line(960, 'edge-2', 'store lost', {detail: 'timeout'}),
	line(970, 'edge-1', 'store lost', {detail: 'timeout'}),
	'a line of another program',
	`22.1 edge-1 ${line(1500, 'edge-1', 'attempt brought no answer', {
		request: 'r1', target: 'i-1', outcome: 'unknown', reason: 'read ECONNRESET', step: 'fail', at: 480,
	})}`,
	line(1500, 'edge-1', 'request ended', {
		request: 'r1', outcome: 'failed', code: 2002, milliseconds: 500, at: 500,
	}),
	line(1500, 'edge-1', 'request ended', {
		request: 'r2', outcome: 'answered', milliseconds: 20, at: 20,
	}),
];

test('the lines of a request are in chronological order, with earlier state changes of its process', t => {
	const trace = traceLines(lines, 'r1');
	t.equal(trace.length, 4);
	t.match(trace[0], /target gone .*target=i-1/);
	t.match(trace[1], /edge-1 {2}store lost/);
	t.match(trace[2], /480 ms .*reason=read ECONNRESET/);
	t.match(trace[3], /500 ms .*code=2002/);
	t.end();
});

test('a request that no line names has an empty trace', t => {
	t.strictSame(traceLines(lines, 'r3'), []);
	t.end();
});
