/**
Stalls of the event loop: what is logged, and what counts as their cause.
*/
import {test} from 'tap';
import type {Logger} from 'roarr';
import {EntryMetrics} from '../../source/entry/entry-metrics.js';
import {EventLoopMonitor} from '../../source/entry/event-loop-monitor.js';
import {LoopActivity} from '../../source/entry/loop-activity.js';

type Line = Readonly<Record<string, unknown>>;

/** A monitor whose clock, processor time and probe the test moves. */
const createMonitor = () => {
	const lines: Line[] = [];
	const time = {now: 0, processor: 0};
	const metrics = new EntryMetrics();
	const activity = new LoopActivity(() => time.now);
	let probe = (): void => undefined;
	const monitor = new EventLoopMonitor({
		activity,
		metrics,
		log: {
			warn(context: Line) {
				lines.push(context);
			},
		} as unknown as Logger,
		now: () => time.now,
		timers: {
			after: () => () => undefined,
			every(_milliseconds, callback) {
				probe = callback;
				return () => undefined;
			},
		},
	}, () => time.processor);
	monitor.start();
	return {
		time, activity, lines, metrics, monitor, probe() {
			probe();
		},
	};
};

test('a stall is logged with the longest piece of work since the probe before', t => {
	const {time, activity, lines, metrics, monitor, probe} = createMonitor();
	time.now = 50;
	activity.measure('request', 800, () => {
		time.now += 2;
	});
	activity.measure('peer message configuration', 310_000, () => {
		time.now += 260;
		time.processor += 250;
	});
	activity.measure('prompt queue', 12, () => {
		time.now += 5;
	});
	probe();
	t.strictSame(lines, [{
		event: 'event loop stalled', milliseconds: 267, processorMilliseconds: 250, longest: 'peer message configuration', longestMilliseconds: 260, size: 310_000,
	}]);
	t.match(metrics.render(), 'cowsliprudder_loop_delay_milliseconds_count 1');
	monitor.stop();
	t.end();
});

test('a stall in which the process did not run shows little processor time and no work', t => {
	const {time, lines, monitor, probe} = createMonitor();
	time.now = 1050;
	time.processor = 3;
	probe();
	t.strictSame(lines, [{
		event: 'event loop stalled', milliseconds: 1000, processorMilliseconds: 3, longest: '', longestMilliseconds: 0, size: 0,
	}]);
	monitor.stop();
	t.end();
});

test('short delays are recorded and not logged', t => {
	const {time, lines, metrics, monitor, probe} = createMonitor();
	time.now = 140;
	probe();
	time.now = 200;
	probe();
	t.strictSame(lines, []);
	t.match(metrics.render(), 'cowsliprudder_loop_delay_milliseconds_count 2');
	monitor.stop();
	t.end();
});
