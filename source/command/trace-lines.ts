/**
Finds one request's story in the log lines of several processes.
*/
import type {LogLine} from './log-line.js';
import {parseLogLine} from './parse-log-line.js';

/** Events of a process that may explain what it did with a request. */
const beliefEvents: ReadonlySet<string> = new Set([
	'start', 'stop', 'reload', 'ready', 'store lost', 'store reached', 'configuration adopted', 'target appeared', 'target changed', 'target leaving', 'target gone', 'target avoided', 'peer found', 'peer lost', 'log lines dropped',
]);

/** How long before a request a change of belief may matter to it. */
const beforeMilliseconds = 10_000;

const hiddenFields: ReadonlySet<string> = new Set(['program', 'process', 'event', 'request', 'logLevel', 'settings']);

const show = (value: unknown): string => typeof value === 'string' ? value : JSON.stringify(value) ?? '';

const describe = ({time, message, context}: LogLine, startedAt: number): string => {
	const fields = Object.entries(context)
		.filter(([name, value]) => !hiddenFields.has(name) && value !== undefined && value !== '')
		.map(([name, value]) => `${name}=${show(value)}`);
	const offset = typeof context.at === 'number' ? context.at : Math.round(time - startedAt);
	return `${String(offset).padStart(8)} ms  ${show(context.process)}  ${message}  ${fields.filter(field => !field.startsWith('at=')).join(' ')}`.trimEnd();
};

/**
Returns the lines of a request in order, with the changes of belief before and
during it at the same processes; empty when no line names the request.

@example
```
traceLines(text.split('\n'), '9c41d07be2a35f68').forEach(line => console.log(line));
```
*/
export const traceLines = (lines: readonly string[], requestId: string): readonly string[] => {
	const parsed = lines.map(line => parseLogLine(line)).filter(line => line !== undefined);
	const own = parsed.filter(({context}) => context.request === requestId);
	if (own.length === 0) {
		return [];
	}

	const processes = new Set(own.map(({context}) => context.process));
	const targets = new Set(own.flatMap(({context}) => [context.target, context.fetchFrom]).filter(value => typeof value === 'string'));
	const endedAt = Math.max(...own.map(({time}) => time));
	const startedAt = Math.min(...own.map(({time, context}) => time - (typeof context.milliseconds === 'number' ? context.milliseconds : 0)));
	const isRelated = ({time, context}: LogLine): boolean => processes.has(context.process)
		&& beliefEvents.has(show(context.event))
		&& time >= startedAt - beforeMilliseconds
		&& time <= endedAt
		&& (typeof context.target !== 'string' || [...targets].some(target => String(context.target).startsWith(target)));
	const beliefs = parsed.filter(line => isRelated(line));
	const placeOf = ({time, context}: LogLine): number => typeof context.at === 'number' ? startedAt + context.at : time;
	return [...own, ...beliefs]
		.toSorted((first, second) => placeOf(first) - placeOf(second))
		.map(line => describe(line, startedAt));
};
