/**
Sums up what a replay served.
*/
import {groupBy} from './group-by.js';
import type {ReplayRequest} from './replay-request.js';

/** Teams from this rank on are small: each has under a hundredth of the traffic. */
const firstSmallTeam = 20;
/** Teams with fewer requests say nothing of how often a team is served. */
const minRequests = 8;
const largestShare = 0.1;
const secondMilliseconds = 1000;
/** Share of the seconds that count as the worst. */
const worstShare = 0.1;

type Figures = {
	/** Served shares: of all requests, of the small teams', and of the team that is served least. */
	readonly all: number;
	readonly small: number;
	readonly leastTeam: number;
	/** Served share of each kind, and of the largest tenth of its prompts. */
	readonly kinds: readonly number[];
	readonly largest: readonly number[];
	/** Served share of the small teams in the worst tenth of the seconds. */
	readonly smallWorst: number;
	/** Of the requests that were refused at least once, the share that was served later. */
	readonly returned: number;
};

const servedShare = (requests: readonly ReplayRequest[]): number => requests.length === 0 ? 1 : requests.filter(({servedAt}) => servedAt !== undefined).length / requests.length;

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);

const worstSeconds = (requests: readonly ReplayRequest[]): number => {
	const bySecond = [...groupBy(requests, ({arrivedAt}) => Math.floor(arrivedAt / secondMilliseconds)).values()].map(each => servedShare(each));
	const ascending = bySecond.toSorted((first, second) => first - second);
	return mean(ascending.slice(0, Math.ceil(ascending.length * worstShare)));
};

const largestTenth = (requests: readonly ReplayRequest[]): readonly ReplayRequest[] => requests.toSorted((first, second) => second.tokens - first.tokens).slice(0, Math.ceil(requests.length * largestShare));

/**
Returns the figures of all requests of a replay.

@example
```
replayFigures(requests).small; // 0.97
```
*/
export const replayFigures = (requests: readonly ReplayRequest[]): Figures => {
	const small = requests.filter(({team}) => team >= firstSmallTeam);
	const byKind = [...groupBy(requests, ({kind}) => kind)].toSorted(([first], [second]) => first - second).map(([, each]) => each);
	return {
		all: servedShare(requests),
		small: servedShare(small),
		leastTeam: Math.min(...[...groupBy(requests, ({team}) => team).values()].filter(({length}) => length >= minRequests).map(each => servedShare(each))),
		kinds: byKind.map(each => servedShare(each)),
		largest: byKind.map(each => servedShare(largestTenth(each))),
		smallWorst: worstSeconds(small),
		returned: servedShare(requests.filter(({refusals}) => refusals.length > 0)),
	};
};
