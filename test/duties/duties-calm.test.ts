/**
Tests that reports are exact, and cost few calls, while nothing fails.
*/
import {test} from 'tap';
import {DutyFleet} from '../support/duty-fleet.js';

/** Error of true time that comes from the delay of messages between gateways. */
const messageMilliseconds = 8;
/** Error of the mean of 22 clocks that differ by up to 100 ms. */
const clockMilliseconds = 40;

const firstWholeWindow = (fleet: DutyFleet): number => fleet.currentWindow + 1;

const windowsUntil = (first: number, last: number): readonly number[] => Array.from({length: last - first + 1}, (_, index) => first + index);

// Guards against counts that are lost or counted twice between gateways: most teams have only a few requests in a window.
for (const [seed, count] of [[1, 1], [2, 2], [3, 5], [4, 22]] as const) {
	test(`the reports of ${count} gateways are exact`, async t => {
		const fleet = new DutyFleet({seed, count, isFencing: false});
		const first = firstWholeWindow(fleet);
		await fleet.run(70_000);
		t.strictSame(fleet.platform.faults, []);
		for (const window of windowsUntil(first, fleet.currentWindow - 3)) {
			t.strictSame(fleet.inexact(window, messageMilliseconds), [], `window ${window}`);
		}
	});
}

// Guards against counts that are lost between windows when the clocks of the gateways differ, and the estimate of true time moves.
test('with clocks that differ, the sum of all windows is exact, and each window but for requests at its ends', async t => {
	const fleet = new DutyFleet({
		seed: 6, count: 22, isFencing: false, skewMilliseconds: 100,
	});
	const first = firstWholeWindow(fleet);
	await fleet.run(70_000);
	const windows = windowsUntil(first, fleet.currentWindow - 3);
	const begun = fleet.begunIn(first, windows.at(-1)!);
	const reported = windows.flatMap(window => Object.values(fleet.reported(window) ?? {})).reduce((sum, count) => sum + count, 0);
	t.ok(Math.abs(begun - reported) <= 6, `${reported} of ${begun}: only the first and the last end may differ`);
	t.strictSame(windows.flatMap(window => fleet.inexact(window, clockMilliseconds)), []);
});

// Guards against a rise of the store's bill: all calls are paid for.
test('one window costs one write, the renewals of one lease and one call of the platform', async t => {
	const fleet = new DutyFleet({seed: 5, count: 8, isFencing: false});
	await fleet.run(20_000);
	const before = new Map(fleet.store.calls);
	const callsBefore = fleet.platform.callCount;
	await fleet.run(50_000);
	const made = (name: Parameters<typeof before.get>[0]): number => (fleet.store.calls.get(name) ?? 0) - (before.get(name) ?? 0);
	t.equal(made('transact'), 10);
	t.ok(made('renewLease') <= 51, String(made('renewLease')));
	t.equal(made('readItem'), 0, 'candidates that hear the holder leave the store alone');
	t.equal(made('grantLease'), 0);
	t.equal(fleet.platform.callCount - callsBefore, 10);
	t.ok(fleet.store.keys('cowsliprudder/duties/usage/').length <= 12, 'old reports are removed');
});
