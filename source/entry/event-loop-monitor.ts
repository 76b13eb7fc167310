/**
Measures how late the event loop runs a timer, and logs each long stall with its likely cause.

A stall has one of two causes. Either the loop was busy: the process used processor
time, and the longest piece of work says with what. Or the process did not get the
processor, because its share was used up or its machine stood still: then it used far
less processor time than the stall lasted.
*/
import {PerformanceObserver} from 'node:perf_hooks';
import process from 'node:process';
import type {EntryContext} from './entry-context.js';

const probeMilliseconds = 50;
/** A stall from this length on is logged. */
const loggedStallMilliseconds = 100;
/** Garbage collections that are shorter are not recorded. */
const minCollectionMilliseconds = 5;
const microsecondsPerMillisecond = 1000;

type MonitorContext = Pick<EntryContext, 'activity' | 'metrics' | 'log' | 'now' | 'timers'>;

const readProcessorMilliseconds = (): number => {
	const {user, system} = process.cpuUsage();
	return (user + system) / microsecondsPerMillisecond;
};

/**
Probes the loop at a fixed interval until it is stopped.

@example
```
const monitor = new EventLoopMonitor(context);
monitor.start();
```
*/
export class EventLoopMonitor {
	#probedAt = 0;
	#processorMilliseconds = 0;
	#cancelProbe: (() => void) | undefined;
	#collections: PerformanceObserver | undefined;
	readonly #context: MonitorContext;
	readonly #readProcessorMilliseconds: () => number;

	/** `readProcessor` returns the processor time that this process has used, in milliseconds. */
	constructor(context: MonitorContext, readProcessor: () => number = readProcessorMilliseconds) {
		this.#context = context;
		this.#readProcessorMilliseconds = readProcessor;
	}

	start(): void {
		const {activity, now, timers} = this.#context;
		this.#probedAt = now();
		this.#processorMilliseconds = this.#readProcessorMilliseconds();
		this.#cancelProbe = timers.every(probeMilliseconds, () => {
			this.#probe();
		});
		this.#collections = new PerformanceObserver(list => {
			for (const {duration} of list.getEntries()) {
				if (duration >= minCollectionMilliseconds) {
					activity.record('garbage collection', 0, duration);
				}
			}
		});
		this.#collections.observe({entryTypes: ['gc']});
	}

	stop(): void {
		this.#cancelProbe?.();
		this.#collections?.disconnect();
	}

	#probe(): void {
		const {activity, metrics, log, now} = this.#context;
		const probedAt = now();
		const stallMilliseconds = Math.max(0, probedAt - this.#probedAt - probeMilliseconds);
		const longest = activity.takeLongest();
		const processorMilliseconds = this.#readProcessorMilliseconds();
		const usedMilliseconds = processorMilliseconds - this.#processorMilliseconds;
		this.#probedAt = probedAt;
		this.#processorMilliseconds = processorMilliseconds;
		metrics.record('loop-delay', stallMilliseconds);
		if (stallMilliseconds < loggedStallMilliseconds) {
			return;
		}

		metrics.count('loop.stalled');
		log.warn({
			event: 'event loop stalled',
			milliseconds: Math.round(stallMilliseconds),
			processorMilliseconds: Math.round(usedMilliseconds),
			longest: longest?.name ?? '',
			longestMilliseconds: Math.round(longest?.milliseconds ?? 0),
			size: longest?.size ?? 0,
		}, 'event loop stalled');
	}
}
