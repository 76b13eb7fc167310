/**
Creates the ways to keep shares that the replay compares.
*/
import {ServiceFairness} from '../../source/decisions/fairness/service-fairness.js';
import {reportRows} from '../../source/decisions/fairness/report-rows.js';
import {LeasedShares} from './leased-shares.js';
import type {SharedUse} from './shared-use.js';

/** Interval of the leases. */
const intervalMilliseconds = 1000;

const noShares: SharedUse = {
	tick: () => undefined,
	ranks: () => undefined,
	recordPlaced: () => undefined,
	recordRefused: () => undefined,
	returnDelay: ({waitMilliseconds}) => waitMilliseconds,
};

const sharesOf = (fairness: ServiceFairness, tick: SharedUse['tick']): SharedUse => ({
	tick,
	ranks: (waiting, now) => fairness.ranks(waiting, now),
	recordPlaced({prompt, rank}, prefillMilliseconds, decodeMilliseconds, now) {
		fairness.recordPlaced(prompt, prefillMilliseconds, now, rank);
		fairness.recordEnded(prompt.id, decodeMilliseconds, now);
	},
	recordRefused(prompt, now) {
		fairness.recordRefused(prompt, now);
	},
	returnDelay: ({waitMilliseconds, workMilliseconds}, now) => fairness.returnDelay(waitMilliseconds, workMilliseconds, now),
});

/** Gateways that report what they used once an interval, each at another time. */
const reporting = (gateways: number): readonly SharedUse[] => {
	const all = Array.from({length: gateways}, () => new ServiceFairness());
	const rows = reportRows(gateways);
	return all.map((fairness, index) => {
		let reportAt = rows.intervalMilliseconds * index / gateways;
		return sharesOf(fairness, now => {
			if (now < reportAt) {
				return;
			}

			reportAt += rows.intervalMilliseconds;
			const report = fairness.takeReport(rows.teams, rows.refused);
			for (const peer of all.filter(each => each !== fairness)) {
				peer.recordReport(report, now);
			}
		});
	});
};

/**
Returns one for each gateway: `none` (no teams), `local` (each by what it used itself), `digests`
(with reports of the others once a second), or `leased` (quotas that an owner grants for a second).

@example
```
const [first, ...others] = createShares('digests', 6, 8);
```
*/
export const createShares = (way: 'none' | 'local' | 'digests' | 'leased', gateways: number, engines: number): readonly SharedUse[] => {
	switch (way) {
		case 'none': {
			return Array.from({length: gateways}, () => noShares);
		}

		case 'local': {
			return Array.from({length: gateways}, () => sharesOf(new ServiceFairness(), () => undefined));
		}

		case 'digests': {
			return reporting(gateways);
		}

		case 'leased': {
			return LeasedShares.create(gateways, engines * intervalMilliseconds, intervalMilliseconds);
		}
	}
};
