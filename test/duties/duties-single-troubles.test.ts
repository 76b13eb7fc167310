/**
Tests that each single trouble costs no report, and no count that could be saved.
*/
import {test, type Test} from 'tap';
import {dutyCandidates} from '../../source/decisions/duties/duty-candidates.js';
import {DutyFleet} from '../support/duty-fleet.js';
import type {VirtualDutyGateway} from '../support/virtual-duty-gateway.js';

const settleMilliseconds = 20_000;
const afterMilliseconds = 40_000;
const moments = 5;
const momentMilliseconds = 1930;
const messageMilliseconds = 8;
/** Counts that a gateway has not sent when it is killed. */
const unsentMilliseconds = 350;

/** What a sixth of the fleet counts in 15 s, and until it is heard again. */
const isolatedMilliseconds = 3500;

type Trouble = (fleet: DutyFleet, holder: VirtualDutyGateway) => void;

/** Plays a trouble at several moments of a window, and gives the windows that were not reported in time. */
const play = async (t: Test, trouble: Trouble, judge: (fleet: DutyFleet, windows: readonly number[], moment: string) => void, count = 6): Promise<void> => {
	for (let index = 0; index < moments; index++) {
		const fleet = new DutyFleet({seed: 100 + index, count, isFencing: index % 2 === 0});
		const first = fleet.currentWindow + 1;
		await fleet.run(settleMilliseconds + (index * momentMilliseconds)); // eslint-disable-line no-await-in-loop
		trouble(fleet, fleet.holder!);
		await fleet.run(afterMilliseconds); // eslint-disable-line no-await-in-loop
		const windows = Array.from({length: fleet.currentWindow - 3 - first}, (_, offset) => first + offset);
		t.strictSame(fleet.platform.faults, [], `moment ${index}`);
		judge(fleet, windows, `moment ${index}`);
	}
};

const judgeAllExact = (t: Test) => (fleet: DutyFleet, windows: readonly number[], moment: string): void => {
	t.strictSame(windows.flatMap(window => fleet.inexact(window, messageMilliseconds).map(line => `window ${window}: ${line}`)), [], moment);
};

/** All windows are reported in time; what a killed gateway had not sent may be missing. */
const judgeAllReported = (t: Test, lostMilliseconds: number, maxUnreported = 0) => (fleet: DutyFleet, windows: readonly number[], moment: string): void => {
	const inTime = windows.filter(window => fleet.reported(window) !== undefined);
	t.ok(windows.length - inTime.length <= maxUnreported, `${moment}: ${inTime.length} of ${windows.length} windows are reported in time`);
	const begun = inTime.map(window => fleet.begunIn(window, window)).reduce((sum, count) => sum + count, 0);
	const reported = inTime.flatMap(window => Object.values(fleet.reported(window) ?? {})).reduce((sum, count) => sum + count, 0);
	const share = begun / (inTime.length * 5000);
	t.ok(begun - reported <= (share * lostMilliseconds) + 12, `${moment}: ${begun - reported} of ${begun} are missing`);
};

// Guards against a lost report, and against lost counts of other gateways, when the holder is killed at any moment of a window.
test('the holder is killed', async t => {
	await play(t, (fleet, {name}) => {
		fleet.kill(name);
	}, judgeAllReported(t, unsentMilliseconds));
});

// Guards against waiting for the counts of a gateway that has gone, and against their loss.
test('another gateway is killed and starts again', async t => {
	await play(t, (fleet, holder) => {
		const name = fleet.names.find(other => other !== holder.name)!;
		fleet.kill(name);
		fleet.time.after(1500, () => {
			fleet.start(name);
		});
	}, judgeAllReported(t, unsentMilliseconds + 3000));
});

test('the holder and a candidate are killed at once', async t => {
	await play(t, (fleet, {name}) => {
		fleet.kill(name);
		fleet.kill([...fleet.gateways.keys()][0]!);
	}, judgeAllReported(t, unsentMilliseconds * 2));
});

// Guards against reports from the smaller side of a partition, which lack most counts.
test('the holder is cut off from its peers but not from the store', async t => {
	await play(t, (fleet, holder) => {
		holder.peersCutUntil = fleet.time.now + 15_000;
	}, judgeAllReported(t, isolatedMilliseconds));
});

// Guards against counts that do not reach the holder although they reach a candidate.
test('the link between the holder and another gateway is cut', async t => {
	await play(t, (fleet, holder) => {
		fleet.cutLink(holder.name, fleet.names.find(other => other !== holder.name)!, 15_000);
	}, judgeAllExact(t));
});

// Guards against counts of a killed gateway that only some candidates have, and the next holder has not.
test('a gateway is killed, the next candidate restarts, and then the holder is killed', async t => {
	await play(t, (fleet, holder) => {
		const [candidate] = dutyCandidates('usage', fleet.names, holder.name) as [string];
		const killed = fleet.names.find(other => other !== holder.name && other !== candidate)!;
		fleet.kill(killed);
		fleet.kill(candidate);
		fleet.start(candidate);
		fleet.time.after(2500, () => {
			fleet.kill(holder.name);
		});
		// The report that waits for the counts of the killed gateway may become late when its holder is killed, too.
	}, judgeAllReported(t, unsentMilliseconds * 3, 1), 4);
});

// Guards against a process that is taken for ended because it passes on the counts of its own former process.
test('reports are exact again after gateways have been killed one after another, and have started again', async t => {
	await play(t, (fleet, holder) => {
		for (const [index, name] of fleet.names.filter(other => other !== holder.name).entries()) {
			fleet.time.after(index * 2000, () => {
				fleet.kill(name);
				fleet.start(name);
			});
		}

		fleet.time.after(5000, () => {
			fleet.kill(holder.name);
			fleet.start(holder.name);
		});
	}, (fleet, windows, moment) => {
		t.strictSame(windows.slice(-3).flatMap(window => fleet.inexact(window, messageMilliseconds)), [], moment);
	}, 3);
});

// Guards against a second content of a window: the counts that the first one lacked have arrived since.
test('a report was decided without late counts, when the holder is killed and the store comes back from an older copy', async t => {
	for (let seed = 200; seed < 206; seed++) {
		const fleet = new DutyFleet({seed, count: 4, isFencing: false});
		await fleet.run(settleMilliseconds); // eslint-disable-line no-await-in-loop
		const holder = fleet.holder!;
		const late = fleet.names.find(other => other !== holder.name)!;
		const window = fleet.currentWindow;
		fleet.gateways.get(late)!.peersCutUntil = fleet.time.now + 13_000;
		fleet.platform.slowMilliseconds = 400;
		while (!fleet.log.some(line => line.event === 'usage report decided' && line.window === window)) {
			await fleet.run(20); // eslint-disable-line no-await-in-loop
		}

		await fleet.run(200); // eslint-disable-line no-await-in-loop
		fleet.kill(holder.name);
		fleet.restoreStore();
		fleet.gateways.get(late)!.peersCutUntil = 0;
		await fleet.run(afterMilliseconds); // eslint-disable-line no-await-in-loop
		t.strictSame(fleet.platform.faults, [], `seed ${seed}`);
		t.ok(fleet.platform.accepted.has(window));
	}
});

test('the holder is cut off from the store', async t => {
	await play(t, (fleet, holder) => {
		holder.storeCutUntil = fleet.time.now + 15_000;
	}, judgeAllExact(t));
});

test('a planned stop of the holder', async t => {
	await play(t, (fleet, holder) => {
		holder.duties.resign();
		fleet.time.after(3000, () => {
			void holder.duties.stop();
			fleet.time.after(50, () => {
				fleet.kill(holder.name);
			});
		});
	}, judgeAllReported(t, 50));
});

test('the holder is frozen for four seconds', async t => {
	await play(t, (fleet, {process}) => {
		process.frozenUntil = fleet.time.now + 4000;
	}, judgeAllReported(t, 0));
});

test('the wall clock of one gateway jumps and returns', async t => {
	await play(t, (fleet, holder) => {
		holder.jumpMilliseconds = 4000;
		fleet.time.after(8000, () => {
			holder.jumpMilliseconds = 0;
		});
	}, judgeAllExact(t));
});

test('the store is away for four seconds', async t => {
	await play(t, fleet => {
		for (const gateway of fleet.gateways.values()) {
			gateway.storeCutUntil = fleet.time.now + 2000;
		}
	}, judgeAllExact(t));
});

test('the store comes back from an older copy', async t => {
	await play(t, fleet => {
		fleet.restoreStore();
	}, judgeAllExact(t));
});

test('the store comes back from an older copy as the holder is killed', async t => {
	await play(t, (fleet, {name}) => {
		fleet.kill(name);
		fleet.restoreStore();
	}, judgeAllReported(t, unsentMilliseconds));
});

test('the duty interface is away for four seconds', async t => {
	await play(t, fleet => {
		fleet.platform.awayUntil = fleet.time.now + 4000;
	}, judgeAllExact(t));
});

// Guards against a report of the time before, of which nobody knows anything, and against no reports afterwards.
test('all gateways are killed at once', async t => {
	await play(t, fleet => {
		for (const name of fleet.names) {
			fleet.kill(name);
			fleet.time.after(1000, () => {
				fleet.start(name);
			});
		}
	}, (fleet, windows, moment) => {
		const missing = windows.filter(window => fleet.reported(window) === undefined);
		t.ok(missing.length <= 1, `${moment}: ${missing.join(', ')}`);
		t.strictSame(windows.slice(-4).flatMap(window => fleet.inexact(window, messageMilliseconds)), [], moment);
	});
});
