/**
The ways of learning what targets take well, on the same calls of 22 gateways in virtual time.

docs/design/learned-capacity.md has the table that this test prints.
*/
import {test} from 'tap';
import {capacityCases} from '../../support/capacity-cases.js';
import {capacityMethods} from '../../support/capacity-methods.js';
import {playPlainFleet} from '../../support/play-plain-fleet.js';

type CaseName = keyof typeof capacityCases;
type MethodName = keyof typeof capacityMethods;

const play = async (caseName: CaseName, method: MethodName, more: Partial<Parameters<typeof playPlainFleet>[0]> = {}) => playPlainFleet({
	seed: 7, gateways: 22, seconds: 30, warmUpSeconds: 15, reportsLoad: true, createMethod: capacityMethods[method], ...capacityCases[caseName], ...more,
});

const chosen = 'throughput against concurrency, with speed';
const chosenWithReports = 'the same with the reported slowdown';

// Guards against a way of learning that serves a deployment worse than fixed weights do.
for (const caseName of Object.keys(capacityCases) as CaseName[]) {
	test(`${caseName}: what is learned shortens the times of calls`, async t => {
		const rows = new Map<MethodName, Awaited<ReturnType<typeof play>>>();
		for (const method of Object.keys(capacityMethods) as MethodName[]) {
			const played = await play(caseName, method); // eslint-disable-line no-await-in-loop
			rows.set(method, played);
			const {mean, p95, p99, shares} = played;
			t.comment(`| ${caseName} | ${method} | ${[mean, p95, p99].map(value => value.toFixed(0)).join(' | ')} | ${shares.map(share => share.toFixed(2)).join(' ')} |`);
		}

		const fixed = rows.get('fixed weights')!;
		t.ok(rows.get(chosen)!.mean < fixed.mean, 'shorter than with fixed weights');
		t.ok(rows.get(chosenWithReports)!.p95 < fixed.p95 / 2, 'with reports, the slowest twentieth takes less than half as long');
	});
}

// Guards against a target that has become slow, or fast again, and keeps its share.
test('a target that becomes slow loses its share, and the others take it', async t => {
	const more = {
		seconds: 60, callsPerSecond: 350, onHalfTime(targets: ReadonlyArray<{readonly setSpeed: (speed: number) => void}>) {
			targets[1]!.setSpeed(0.4);
		},
	};
	const [fixed, learned] = [await play('three speeds', 'fixed weights', more), await play('three speeds', chosen, more)];
	t.comment(`| a target becomes slow | fixed weights | ${fixed.lastMean.toFixed(0)} |`);
	t.comment(`| a target becomes slow | ${chosen} | ${learned.lastMean.toFixed(0)} |`);
	t.ok(learned.lastMean < fixed.lastMean);
});
