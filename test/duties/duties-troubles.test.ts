/**
Tests the rules of the duty under troubles drawn at random, over many steps of virtual time.

`SEED` and `RUNS` play other cases.
*/
import process from 'node:process';
import {test} from 'tap';
import {DutyFleet} from '../support/duty-fleet.js';
import {playDutyTroubles} from '../support/play-duty-troubles.js';

const firstSeed = Number(process.env.SEED ?? 1);
const runs = Number(process.env.RUNS ?? 24);
const minSteps = 100_000;
const troubleMilliseconds = 60_000;
/** Time after the last trouble within which the lease and the links are as usual, and the clocks of small fleets, most of which may have jumped, agree again. */
const recoveryMilliseconds = 30_000;
/** Error of true time that comes from clocks that differ and have jumped. */
const clockMilliseconds = 150;

// Guards against two holders, a token that goes back or is used twice, holders that alternate within the lease's time, two reports of one window, and counts that stay wrong once the troubles have passed.
test('the rules hold whatever fails, and reports are right again afterwards', async t => {
	let steps = 0;
	let windows = 0;
	let missing = 0;
	for (let seed = firstSeed; seed < firstSeed + runs; seed++) {
		const fleet = new DutyFleet({
			seed, count: 1 + (seed % 6), isFencing: seed % 2 === 0, skewMilliseconds: 100,
		});
		await fleet.run(12_000); // eslint-disable-line no-await-in-loop
		const first = fleet.currentWindow;
		const played = await playDutyTroubles(fleet, troubleMilliseconds); // eslint-disable-line no-await-in-loop
		const last = fleet.currentWindow;
		await fleet.run(recoveryMilliseconds); // eslint-disable-line no-await-in-loop
		const calm = fleet.currentWindow + 1;
		await fleet.run(25_000); // eslint-disable-line no-await-in-loop
		// Two clocks cannot tell which of them has jumped, so exact counts are asked of larger fleets.
		const inexact = fleet.names.length < 3 ? [] : [calm, calm + 1].flatMap(window => fleet.inexact(window, clockMilliseconds).map(line => `window ${window}: ${line}`));
		t.strictSame([...fleet.platform.faults, ...inexact], [], `seed ${seed}`);
		if (fleet.platform.faults.length + inexact.length > 0) {
			t.comment(played.join('\n'));
		}

		steps += fleet.steps;
		windows += last - first;
		missing += Array.from({length: last - first}, (_, index) => first + index).filter(window => fleet.reported(window) === undefined).length;
	}

	t.comment(`${steps} steps; ${missing} of ${windows} windows amid troubles were not reported in time`);
	t.ok(runs < 24 || steps >= minSteps, `${steps} steps`);
});
