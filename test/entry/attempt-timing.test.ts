/**
What is reported to the learned capacity of the attempts at a target.
*/
import {test} from 'tap';
import type {LearnedCapacity} from '../../source/decisions/capacity/learned-capacity.js';
import {AttemptTiming} from '../../source/entry/attempt-timing.js';
import {LoadTracker} from '../../source/entry/load-tracker.js';
import type {LoadEntry} from '../../source/entry/load-entry.js';
import type {SendInstructions} from '../../source/fleet/send-instructions.js';
import type {TargetRecord} from '../../source/fleet/target-record.js';

const targetOf = (role: TargetRecord['role']): TargetRecord => ({
	id: 'i-1', incarnation: 'i-1 17', bornAt: 17, service: 's', address: '10.0.0.1:80', availabilityZone: 'a', isDraining: false, slots: 8, role,
});

const work = {
	uncachedTokens: 6000, cachedTokens: 0, estimatedMilliseconds: 100, backlogMilliseconds: 0,
};

const start = (role: TargetRecord['role'], prefill?: LoadEntry['prefill']) => {
	const recorded: Array<readonly [string, unknown]> = [];
	const loadTracker = new LoadTracker();
	const clock = {now: 100};
	const capacity: Partial<LearnedCapacity> = {
		recordCall: (_target, call) => recorded.push(['call', call]),
		recordRefusal: (_target, running) => recorded.push(['refusal', running]),
		recordLoad: (_target, load) => recorded.push(['load', load]),
		recordPrefill: (_target, observation) => recorded.push(['prefill', observation]),
		recordDecode: (_target, observation) => recorded.push(['decode', observation]),
	};
	loadTracker.add('i-1', 0);
	const entry = loadTracker.add('i-1', 0, prefill);
	const instructions: Partial<SendInstructions> = {isPrefillOnly: role === 'prefill'};
	const timing = new AttemptTiming({target: targetOf(role), instructions: instructions as SendInstructions}, entry, {capacity: capacity as LearnedCapacity, loadTracker, now: () => clock.now});
	timing.recordSent();
	return {
		timing, recorded, loadTracker, entry, clock,
	};
};

const load = {
	running: 30, waiting: 2, slots: 8, slowdown: 1,
};

// Guards against times of calls that were never run, or that are counted by the wrong number of calls beside them.
test('the time of a call is reported with the calls beside it, by the target\'s own account if it gives one', t => {
	const own = start(undefined);
	own.clock.now = 140;
	own.timing.recordHead({status: 200, load: undefined}, 'answer');
	t.strictSame(own.recorded, [['call', {milliseconds: 40, running: 1}]]);
	const reported = start(undefined);
	reported.timing.recordHead({status: 200, load}, 'answer');
	t.strictSame(reported.recorded.at(-1), ['call', {milliseconds: 0, running: 16}], 'a figure beyond twice the slots is cut');
	t.end();
});

test('a refused call is reported as refused, and one that is wrong or failed is not reported', t => {
	const refused = start(undefined);
	refused.timing.recordHead({status: 503, load: undefined}, 'refusal');
	t.strictSame(refused.recorded, [['refusal', 1]]);
	for (const [status, kind] of [[404, 'answer'], [500, 'other']] as const) {
		const {timing, recorded} = start(undefined);
		timing.recordHead({status, load: undefined}, kind);
		timing.recordEnd();
		t.strictSame(recorded, []);
	}

	t.end();
});

test('the time of a prefill is reported once, at the first data', t => {
	const {timing, recorded, clock} = start('prefill', work);
	clock.now = 220;
	timing.recordHead({status: 200, load: undefined}, 'answer');
	timing.recordData();
	timing.recordData();
	timing.recordEnd();
	t.strictSame(recorded, [['prefill', {...work, milliseconds: 120}]]);
	const unmeasured = start('prefill');
	unmeasured.timing.recordHead({status: 200, load: undefined}, 'answer');
	unmeasured.timing.recordData();
	t.strictSame(unmeasured.recorded, []);
	t.end();
});

test('the mean time between the events of a stream is reported at its end, unless there were few', t => {
	const play = (reads: number) => {
		const played = start('decode', work);
		played.timing.recordHead({status: 200, load: undefined}, 'answer');
		for (let read = 0; read < reads; read++) {
			played.clock.now = 200 + (read * 50);
			played.timing.recordData();
		}

		played.loadTracker.remove(played.entry);
		played.timing.recordEnd();
		return played.recorded.filter(([kind]) => kind === 'decode');
	};

	t.strictSame(play(10), [['decode', {gapMilliseconds: 50, running: 2}]]);
	t.strictSame(play(5), []);
	t.end();
});
