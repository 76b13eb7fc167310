/**
Tests that each single trouble costs no report, and no count that could be saved.
*/
import {test, type Test} from 'tap';
import {DutyFleet} from '../support/duty-fleet.js';
import type {VirtualDutyGateway} from '../support/virtual-duty-gateway.js';

const settleMilliseconds = 20_000;
const afterMilliseconds = 40_000;
const moments = 10;
const momentMilliseconds = 1370;
const messageMilliseconds = 8;
/** Counts that a gateway has not sent when it is killed. */
const unsentMilliseconds = 350;

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
const judgeAllReported = (t: Test, lostMilliseconds: number) => (fleet: DutyFleet, windows: readonly number[], moment: string): void => {
	t.strictSame(windows.filter(window => fleet.reported(window) === undefined), [], moment);
	const begun = fleet.begunIn(windows[0]!, windows.at(-1)!);
	const reported = windows.flatMap(window => Object.values(fleet.reported(window) ?? {})).reduce((sum, count) => sum + count, 0);
	const share = begun / (windows.length * 5000);
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
	}, judgeAllReported(t, 20_000), 6);
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
