/**
Finds the log lines that belong to one request or may explain its course, in the logs of
several processes.
*/
import type {LogLine} from './log-line.js';
import {parseLogLine} from './parse-log-line.js';

/** Events that change what a process knows, and so may explain how it handled a request. */
const stateChangeEvents: ReadonlySet<string> = new Set([
	'start', 'stop', 'reload', 'ready', 'store lost', 'store reached', 'configuration adopted', 'target appeared', 'target changed', 'target leaving', 'target gone', 'target avoided', 'peer found', 'peer lost', 'log lines dropped',
]);

/** State changes up to this long before a request are shown with it. */
const lookbackMilliseconds = 10_000;

const hiddenFields: ReadonlySet<string> = new Set(['program', 'process', 'event', 'request', 'logLevel', 'settings']);

const formatValue = (value: unknown): string => typeof value === 'string' ? value : JSON.stringify(value) ?? '';

const describe = ({time, message, context}: LogLine, startedAt: number): string => {
	const fields = Object.entries(context)
		.filter(([name, value]) => !hiddenFields.has(name) && value !== undefined && value !== '')
		.map(([name, value]) => `${name}=${formatValue(value)}`);
	const offset = typeof context.at === 'number' ? context.at : Math.round(time - startedAt);
	return `${String(offset).padStart(8)} ms  ${formatValue(context.process)}  ${message}  ${fields.filter(field => !field.startsWith('at=')).join(' ')}`.trimEnd();
};

/**
Returns the lines of a request in chronological order, together with the state changes
of the same processes shortly before and during the request. Returns an empty array if no
line names the request.

@example
```
traceLines(text.split('\n'), '9c41d07be2a35f68').forEach(line => console.log(line));
```
*/
export const traceLines = (lines: readonly string[], requestId: string): readonly string[] => {
	const parsed = lines.map(line => parseLogLine(line)).filter(line => line !== undefined);
	const requestLines = parsed.filter(({context}) => context.request === requestId);
	if (requestLines.length === 0) {
		return [];
	}

	const processes = new Set(requestLines.map(({context}) => context.process));
	const targets = new Set(requestLines.flatMap(({context}) => [context.target, context.fetchFrom]).filter(value => typeof value === 'string'));
	const endedAt = Math.max(...requestLines.map(({time}) => time));
	const startedAt = Math.min(...requestLines.map(({time, context}) => time - (typeof context.milliseconds === 'number' ? context.milliseconds : 0)));
	const isRelated = ({time, context}: LogLine): boolean => processes.has(context.process)
		&& stateChangeEvents.has(formatValue(context.event))
		&& time >= startedAt - lookbackMilliseconds
		&& time <= endedAt
		&& (typeof context.target !== 'string' || [...targets].some(target => String(context.target).startsWith(target)));
	const stateChanges = parsed.filter(line => isRelated(line));
	const timeOf = ({time, context}: LogLine): number => typeof context.at === 'number' ? startedAt + context.at : time;
	return [...requestLines, ...stateChanges]
		.toSorted((first, second) => timeOf(first) - timeOf(second))
		.map(line => describe(line, startedAt));
};
