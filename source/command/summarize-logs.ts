/**
Summarizes the log lines of several processes.

Successful requests are sampled, so their counts show how they are distributed, not how
many there were. All requests that failed, were refused or were late are logged.
*/
import type {LogReport} from './log-report.js';
import type {LogLine} from './log-line.js';

const windowMilliseconds = 2000;
const maxRows = 20;

type EndedRequest = {readonly time: number; readonly route: string; readonly outcome: string; readonly ending: string; readonly milliseconds: number; readonly firstEvent: number | undefined};

const textOf = (value: unknown): string => typeof value === 'string' || typeof value === 'number' ? String(value) : '';
const numberOf = (value: unknown): number | undefined => typeof value === 'number' ? value : undefined;

const quantile = (values: readonly number[], level: number): number | undefined => values.toSorted((first, second) => first - second)[Math.min(values.length - 1, Math.floor(values.length * level))];

const rounded = (value: number | undefined): string => value === undefined ? '' : String(Math.round(value));

const groupBy = <Value>(values: readonly Value[], keyOf: (value: Value) => string): ReadonlyMap<string, readonly Value[]> => {
	const groups = new Map<string, Value[]>();
	for (const value of values) {
		const group = groups.get(keyOf(value)) ?? [];
		groups.set(keyOf(value), group);
		group.push(value);
	}

	return groups;
};

const toEndedRequest = ({time, context}: LogLine): EndedRequest => ({
	time,
	route: textOf(context.route) || 'no route',
	outcome: textOf(context.outcome),
	ending: [textOf(context.outcome), textOf(context.code)].filter(word => word !== '').join(' '),
	milliseconds: numberOf(context.milliseconds) ?? 0,
	firstEvent: numberOf(context.firstEvent),
});

const requestTable = (ended: readonly EndedRequest[]): LogReport['tables'][number] => ({
	title: 'Logged requests by route and ending (those that went well in samples)',
	columns: ['route', 'ending', 'requests', 'ms, 50 in 100', '95 in 100', 'first event, 50 in 100', '95 in 100'],
	rows: [...groupBy(ended, ({route, ending}) => `${route}\n${ending}`)]
		.toSorted(([first], [second]) => first < second ? -1 : 1)
		.map(([key, group]) => {
			const times = group.map(({milliseconds}) => milliseconds);
			const firstEvents = group.flatMap(({firstEvent}) => firstEvent === undefined ? [] : [firstEvent]);
			return [...key.split('\n'), String(group.length), rounded(quantile(times, 0.5)), rounded(quantile(times, 0.95)), rounded(quantile(firstEvents, 0.5)), rounded(quantile(firstEvents, 0.95))];
		}),
});

/** Compares the measured prefill time with the estimate, by engine. */
const engineTable = (lines: readonly LogLine[]): LogReport['tables'][number] => {
	const prefills = new Map(lines.filter(({context}) => context.event === 'prompt read').map(({context}) => [`${textOf(context.request)} ${textOf(context.target)}`, context]));
	const placed = lines.filter(({context}) => context.event === 'placed').map(({context}) => context);
	return {
		title: 'Prompts by the engine that read them',
		columns: ['engine', 'prompts', 'in place', 'fetched', 'denied before', 'no grant', 'ms over the estimate, 50 in 100', '95 in 100'],
		rows: [...groupBy(placed, ({target}) => textOf(target))].map(([engine, group]) => {
			const excess = group.flatMap(({request, target, latency}) => {
				const measured = numberOf(prefills.get(`${textOf(request)} ${textOf(target)}`)?.milliseconds);
				return measured === undefined ? [] : [measured - (numberOf(latency) ?? 0)];
			});
			const count = (isCounted: (context: LogLine['context']) => boolean): string => String(group.filter(context => isCounted(context)).length);
			return [engine, String(group.length), count(({way}) => way === 'in place'), count(({fetchFrom}) => fetchFrom !== undefined), count(({denials}) => (numberOf(denials) ?? 0) > 0), count(({grant}) => grant === 'no answer'), rounded(quantile(excess, 0.5)), rounded(quantile(excess, 0.95))];
		}).toSorted((first, second) => Number(second[1]) - Number(first[1])).slice(0, maxRows),
	};
};

/** Log events of a single request. All other events are changes in what a process knows about targets and peers. */
const requestEvents: ReadonlySet<string> = new Set(['placed', 'prompt read', 'tokens placed', 'request ended', 'attempt brought no answer']);

const stateChangeTable = (lines: readonly LogLine[]): LogReport['tables'][number] => {
	const stateChanges = lines.filter(({context}) => textOf(context.event) !== '' && !requestEvents.has(textOf(context.event)));
	return {
		title: 'Changes of belief',
		columns: ['event', 'of', 'times', 'processes', 'first', 'last'],
		rows: [...groupBy(stateChanges, ({context}) => `${textOf(context.event)}\n${textOf(context.target) || textOf(context.peer)}`)]
			.toSorted(([, first], [, second]) => second.length - first.length)
			.slice(0, maxRows)
			.map(([key, group]) => {
				const times = group.map(({time}) => time);
				return [...key.split('\n'), String(group.length), String(new Set(group.map(({context}) => context.process)).size), new Date(Math.min(...times)).toISOString(), new Date(Math.max(...times)).toISOString()];
			}),
	};
};

const windowsOf = (ended: readonly EndedRequest[], start: number): LogReport['windows'] => {
	const last = ended.reduce((latest, {time}) => Math.max(latest, time), start);
	const byWindow = groupBy(ended, ({time}) => String(Math.floor((time - start) / windowMilliseconds)));
	return Array.from({length: ended.length === 0 ? 0 : Math.floor((last - start) / windowMilliseconds) + 1}, (_, index) => {
		const group = byWindow.get(String(index)) ?? [];
		const firstEvents = group.flatMap(({firstEvent}) => firstEvent === undefined ? [] : [firstEvent]);
		return {
			endings: Object.fromEntries([...groupBy(group, ({outcome}) => outcome)].map(([outcome, each]) => [outcome, each.length])),
			middle: quantile(firstEvents, 0.5),
			slow: quantile(firstEvents, 0.95),
		};
	});
};

/**
Returns the report on the given lines.

@example
```
const {tables} = summarizeLogs(lines);
```
*/
export const summarizeLogs = (lines: readonly LogLine[]): LogReport => {
	const ended = lines.filter(({context}) => context.event === 'request ended').map(line => toEndedRequest(line));
	const start = ended.reduce((earliest, {time}) => Math.min(earliest, time), Number.POSITIVE_INFINITY);
	const from = Number.isFinite(start) ? start : 0;
	return {
		tables: [requestTable(ended), engineTable(lines), stateChangeTable(lines)], start: from, windowMilliseconds, windows: windowsOf(ended, from),
	};
};
