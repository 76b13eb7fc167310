/**
The loads that the comparison and the tests replay.
*/
import {FairnessReplay} from './fairness-replay.js';

type Options = ConstructorParameters<typeof FairnessReplay>[0];

type Load = Omit<Options, 'seed' | 'shares'>;

/** The traffic share of the k-th largest team falls as k to this power. */
const teamExponent = -1.2;
const burstMilliseconds = 2800;
const blockMilliseconds = 14_000;

const kinds: Options['kinds'] = [
	{
		name: 'question', priority: 0, tokens: [200, 800], targetMilliseconds: 500, patienceMilliseconds: 2000, deadlineMilliseconds: 4000,
	},
	{
		name: 'dossier', priority: 1, tokens: [2000, 20_000], targetMilliseconds: 1200, patienceMilliseconds: 3200, deadlineMilliseconds: 6000,
	},
];

const baseRates = [60, 28];

const common = {
	gateways: 6, engines: 6, milliseconds: blockMilliseconds * 2, kinds, teams: 74, spread: 'even', isReturning: true,
} as const;

const weight = (team: number): number => (team + 1) ** teamExponent;

/** Scales the base rates so that, on average, they take this share of the engines. */
const rateFor = (share: number, engines: number = common.engines): ((kind: number) => number) => {
	const load = FairnessReplay.load(kinds, kind => baseRates[kind]!) / engines;
	return kind => baseRates[kind]! * share / load;
};

const isIn = (at: number, from: number): boolean => at >= from && at < from + burstMilliseconds;

/** Three quarters of the capacity are asked for; twice in each block, the largest team alone asks for as much as all engines have. */
const largeTeamBurst: Load = {
	...common,
	rate: (kind, at) => rateFor(isIn(at % blockMilliseconds, 3000) || isIn(at % blockMilliseconds, 9000) ? 1.9 : 0.75)(kind),
	weight: (team, at) => weight(team) * (team === 0 && (isIn(at % blockMilliseconds, 3000) || isIn(at % blockMilliseconds, 9000)) ? 7 : 1),
};

/** The two kinds take turns: in each 2.8 s one of them has 1.5 (first block) to 2 times its rate, and the other its own. */
const alternatingBursts: Load = {
	...common,
	rate(kind, at) {
		const factor = at < blockMilliseconds ? 1.5 : 2;
		const isBurst = Math.floor(at / burstMilliseconds) % 2 === kind;
		return rateFor(0.95)(kind) * (isBurst ? factor : 1);
	},
	weight,
};

/** As many gateways and engines as a deployment has, which makes the figures of one gateway a small sample. */
const wholeDeployment = {gateways: 22, engines: 29} as const;

/** All teams ask for 1.6 times the capacity all the time. */
const steadyOverload: Load = {...common, rate: kind => rateFor(1.6)(kind), weight};

/**
Each with 74 teams and two blocks of 14 s, most of them with six gateways and engines.

@example
```
new FairnessReplay({seed: 1, shares: 'digests', ...replayLoads.largeTeamBurst}).run();
```
*/
export const replayLoads = {
	largeTeamBurst, alternatingBursts, steadyOverload,
	burstByTeam: {...largeTeamBurst, spread: 'by team'},
	overloadByTeam: {...steadyOverload, spread: 'by team'},
	wholeDeployment: {
		...largeTeamBurst, ...wholeDeployment, rate: (kind, at) => largeTeamBurst.rate(kind, at) * wholeDeployment.engines / common.engines,
	},
	wholeDeploymentByTeam: {
		...steadyOverload, ...wholeDeployment, spread: 'by team', rate: kind => rateFor(1.6, wholeDeployment.engines)(kind),
	},
} as const satisfies Readonly<Record<string, Load>>;
