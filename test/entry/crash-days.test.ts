/**
BUDGET and LOST: drawn days on which a part of prompts crashes engines, and days on which engines only crash.

The days are drawn from seeds and played in virtual time. `TAP_TIMEOUT=0 SEEDS=50
node build/test/entry/crash-days.test.js` plays more of them.
*/
import process from 'node:process';
import {test} from 'tap';
import {VirtualCrashDay} from '../support/virtual-crash-day.js';

type Kind = Omit<ConstructorParameters<typeof VirtualCrashDay>[0], 'seed'>;

/** Days of large fleets take longer, so fewer of them are played. */
const seedsOf = (gateways: number): readonly number[] => Array.from({length: Number(process.env.SEEDS ?? (gateways > 5 ? 2 : 6))}, (_, index) => index + 1);

/** Plays the days of one kind; returns what broke, and how often an engine crashed on the part. */
const play = async (kind: Kind): Promise<{readonly broken: readonly string[]; readonly crashes: number}> => {
	const broken: string[] = [];
	let crashes = 0;
	for (const seed of seedsOf(kind.gateways)) {
		const day = new VirtualCrashDay({...kind, seed});
		await day.run(); // eslint-disable-line no-await-in-loop
		broken.push(...day.judge.violations.map(violation => `seed ${seed}: ${violation}`));
		crashes += day.judge.crashes.length;
	}

	return {broken, crashes};
};

for (const gateways of [5, 20]) {
	test(`a part that crashes engines is held back in time at ${gateways} gateways, whatever happens to them`, async t => {
		const {broken, crashes} = await play({gateways, isTainted: true});
		t.strictSame(broken, []);
		t.ok(crashes > 0);
	});

	test(`a part that crashes engines is held back again after all of ${gateways} gateways were killed`, async t => {
		const {broken} = await play({gateways, isTainted: true, isHerdKilled: true});
		t.strictSame(broken, []);
	});

	test(`no prompt is held back at ${gateways} gateways when engines crash of themselves`, async t => {
		const {broken} = await play({gateways, isTainted: false});
		t.strictSame(broken, []);
	});
}
