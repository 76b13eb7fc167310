/**
Summaries of the logs and metrics of several processes.
*/
import {test} from 'tap';
import {formatTable} from '../../source/command/format-table.js';
import {parseLogLine} from '../../source/command/parse-log-line.js';
import {plotReport} from '../../source/command/plot-report.js';
import {summarizeLogs} from '../../source/command/summarize-logs.js';
import {summarizeMetrics} from '../../source/command/summarize-metrics.js';

const line = (time: number, process: string, event: string, fields: Readonly<Record<string, unknown>>): string => JSON.stringify({
	context: {process, event, ...fields}, message: event, time,
});

const lines = [
	line(1000, 'edge-1', 'request ended', {
		request: 'r1', route: 'dossiers', outcome: 'answered', milliseconds: 900, firstEvent: 500,
	}),
	line(1500, 'edge-2', 'request ended', {
		request: 'r2', route: 'dossiers', outcome: 'refused', code: 1002, milliseconds: 2,
	}),
	line(5200, 'edge-2', 'request ended', {
		request: 'r3', route: 'dossiers', outcome: 'answered', milliseconds: 1900, firstEvent: 1500,
	}),
	line(1000, 'edge-1', 'placed', {
		request: 'r1', target: 'i-1', way: 'prefill first', latency: 200, grant: 'granted', denials: 2,
	}),
	line(1000, 'edge-1', 'prompt read', {request: 'r1', target: 'i-1', milliseconds: 260}),
	line(5000, 'edge-2', 'placed', {
		request: 'r3', target: 'i-1', way: 'in place', latency: 100, grant: 'no answer', denials: 0, fetchFrom: 'i-2',
	}),
	line(2000, 'edge-1', 'target avoided', {target: 'i-1', reason: 'silent'}),
	line(2100, 'edge-2', 'target avoided', {target: 'i-1', reason: 'silent'}),
	'22.1 edge-1 no line of ours',
	'{"broken',
].map(text => parseLogLine(text)).filter(parsed => parsed !== undefined);

const rowsOf = (title: RegExp): ReadonlyArray<readonly string[]> => summarizeLogs(lines).tables.find(table => title.test(table.title))?.rows ?? [];

test('requests are counted by route and outcome', t => {
	t.strictSame(rowsOf(/^Logged requests/u), [
		['dossiers', 'answered', '2', '1900', '1900', '1500', '1500'],
		['dossiers', 'refused 1002', '1', '2', '2', '', ''],
	]);
	t.end();
});

test('the engine table counts prompts and shows by how much prefill exceeded the estimate', t => {
	t.strictSame(rowsOf(/^Prompts/u), [['i-1', '2', '1', '1', '1', '1', '60', '60']]);
	t.end();
});

test('state changes are counted across processes', t => {
	t.strictSame(rowsOf(/^Changes/u), [['target avoided', 'i-1', '2', '2', '1970-01-01T00:00:02.000Z', '1970-01-01T00:00:02.100Z']]);
	t.end();
});

test('windows in which no request ended are included', t => {
	const {windows, start} = summarizeLogs(lines);
	t.equal(start, 1000);
	t.strictSame(windows.map(({endings}) => endings), [{answered: 1, refused: 1}, {}, {answered: 1}]);
	t.strictSame(windows.map(({slow}) => slow), [500, undefined, 1500]);
	t.end();
});

test('the plot is a single SVG document with a bar for each outcome and window, and escapes names', t => {
	const svg = plotReport(summarizeLogs(lines));
	t.match(svg, /^<svg [^>]*>\n/u);
	t.match(svg, /<\/svg>\n$/u);
	t.equal(svg.match(/<rect x="[^"]*" y="[^"]*" width="[^"]*" height="[^"]*" fill="#4c956c"/gu)?.length, 3, 'two bars and the legend');
	const escaped = plotReport({
		tables: [], start: 0, windowMilliseconds: 2000, windows: [{endings: Object.fromEntries([['a<b', 1]]), middle: undefined, slow: undefined}],
	});
	t.match(escaped, /a&lt;b/u);
	t.notMatch(plotReport({
		tables: [], start: 0, windowMilliseconds: 2000, windows: [],
	}), /NaN|Infinity/u);
	t.end();
});

test('counters are summed, and of quantiles the highest is taken', t => {
	const {rows} = summarizeMetrics(['c_peers 4\nc_first_milliseconds{quantile="0.95"} 300\nnonsense\n', 'c_peers 3\nc_first_milliseconds{quantile="0.95"} 200\n']);
	t.strictSame(rows, [['c_first_milliseconds{quantile="0.95"}', '300', '2'], ['c_peers', '7', '2']]);
	t.end();
});

test('columns are as wide as their widest cell, and an empty table says so', t => {
	t.strictSame(formatTable({title: 'T', columns: ['engine', 'n'], rows: [['i-1', '12']]}), ['T', 'engine  n', 'i-1     12', '']);
	t.strictSame(formatTable({title: 'T', columns: ['n'], rows: []}), ['T', 'n', '(none)', '']);
	t.end();
});
