/**
Crashes of targets, told from connections that break while their target goes on.
*/
import {test} from 'tap';
import {CrashMonitor} from '../../source/entry/crash-monitor.js';
import type {TargetRecord} from '../../source/fleet/target-record.js';
import {VirtualTime} from '../support/virtual-time.js';

type Loss = Parameters<ConstructorParameters<typeof CrashMonitor>[0]['onLost']>[0];

const target: TargetRecord = {
	id: 'i-1', incarnation: 'i-1 1', bornAt: 1, service: 's', address: '10.1.0.1:80', availabilityZone: 'a', isDraining: false, slots: 8, role: 'decode',
};

const lost = (requestId: string): {readonly requestId: string; readonly parts: readonly string[]} => ({requestId, parts: ['aa']});

/** A monitor whose probes are answered by `state`. */
const start = (): {readonly time: VirtualTime; readonly monitor: CrashMonitor; readonly losses: Loss[]; readonly state: {reachability: 'open' | 'refused' | 'unknown'; isUsable: boolean; probes: number}} => {
	const time = new VirtualTime();
	const losses: Loss[] = [];
	const state = {reachability: 'refused' as 'open' | 'refused' | 'unknown', isUsable: true, probes: 0};
	const monitor = new CrashMonitor({
		async probe() {
			state.probes++;
			return state.reachability;
		},
		isUsable: () => state.isUsable,
		onLost(loss) {
			losses.push(loss);
		},
		now: () => time.now,
		timers: time,
	});
	return {
		time, monitor, losses, state,
	};
};

test('attempts that are lost together at a target where nothing listens any more are one crash', async t => {
	const {time, monitor, losses, state} = start();
	monitor.recordLost(target, lost('r1'));
	monitor.recordLost(target, lost('r2'));
	await time.run(100);
	t.strictSame(losses, [{
		target, requests: [lost('r1'), lost('r2')], at: 0, isCrash: true,
	}]);
	monitor.recordLost(target, lost('r3'));
	await time.run(200);
	t.match(losses[1], {requests: [lost('r3')], at: 0, isCrash: true});
	t.equal(state.probes, 1);
});

test('attempts that are lost at a target that still listens, or cannot be reached, are no crash', async t => {
	const {time, monitor, losses, state} = start();
	state.reachability = 'open';
	monitor.recordLost(target, lost('r1'));
	await time.run(100);
	t.match(losses, [{requests: [lost('r1')], isCrash: false}]);
	state.reachability = 'unknown';
	await time.run(3000);
	monitor.recordLost(target, lost('r2'));
	await time.run(3100);
	t.match(losses[1], {requests: [lost('r2')], isCrash: false});
});

test('a target that listens is not probed for each attempt that it breaks off', async t => {
	const {time, monitor, losses, state} = start();
	state.reachability = 'open';
	for (let index = 0; index < 100; index++) {
		time.after(index * 10, () => {
			monitor.recordLost(target, lost(`r${index}`));
		});
	}

	await time.run(2000);
	t.ok(state.probes <= 5);
	t.equal(losses.flatMap(({requests}) => requests).length, 100);
});

test('the end of a target that was to leave is no crash', async t => {
	const {time, monitor, losses, state} = start();
	state.isUsable = false;
	monitor.recordLost(target, lost('r1'));
	await time.run(100);
	t.strictSame(losses, []);
});
