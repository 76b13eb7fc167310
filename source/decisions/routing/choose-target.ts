/**
Chooses the target of a request from what one gateway knows.

Few candidates are compared by estimated cost: those that the prefix hash gives
at every gateway, and random ones. Random candidates keep gateways that do not
talk to each other from all running to the freshest report; the hash keeps
prompts with a shared prefix together without shared state.
*/
import * as option from 'fp-ts/lib/Option.js';
import {estimateCost} from './estimate-cost.js';
import {rendezvousScore} from './rendezvous-score.js';
import type {RoutedRequest} from './routed-request.js';
import type {TargetView} from './target-view.js';

/** Candidates that the prefix hash gives. */
const stableCandidates = 2;
const randomCandidates = 2;
/** Targets of a service among which one gateway picks at random. */
const subsetSize = 16;
/** Cost in milliseconds that a target in another availability zone is charged. */
const otherZoneMilliseconds = 3;
/** At least this share of a service's targets stays in use, however many are ejected. */
const usableFloor = 0.5;

type ChoiceContext = {
	/** Name of the gateway that chooses. */
	readonly gateway: string;
	readonly availabilityZone: string;
	readonly now: number;
	/** Uniform in [0, 1). */
	readonly random: () => number;
};

/** Targets that may be used: not leaving, not ejected unless too few would be left, not tried unless all were. */
const usable = (views: readonly TargetView[], request: RoutedRequest, now: number): readonly TargetView[] => {
	const staying = views.filter(view => !view.leaving && !view.listedLeaving);
	const healthy = staying.filter(view => view.ejectedUntil <= now);
	const enough = healthy.length >= staying.length * usableFloor ? healthy : staying;
	const untried = enough.filter(view => !request.avoid.includes(view.name));
	return untried.length > 0 ? untried : staying.filter(view => !request.avoid.includes(view.name));
};

const pickRandom = (views: readonly TargetView[], count: number, random: () => number): readonly TargetView[] =>
	Array.from({length: Math.min(count, views.length)}, () => views[Math.floor(random() * views.length)]!);

const topRanked = (views: readonly TargetView[], key: string, count: number): readonly TargetView[] => views
	.map(view => ({view, score: rendezvousScore(key, view.name)}))
	.sort((first, second) => second.score - first.score)
	.slice(0, count)
	.map(({view}) => view);

/** Random candidates come from a part of a large service, so that a gateway's links stay bounded. */
const ownSubset = (views: readonly TargetView[], gateway: string): readonly TargetView[] =>
	views.length <= subsetSize ? views : topRanked(views, gateway, subsetSize);

/**
Returns the target to try next, or none when there is no usable one.

@example
```
const chosen = chooseTarget(views, request, {gateway: 'entry-1', availabilityZone, now: clock(), random: Math.random});
```
*/
export const chooseTarget = (views: readonly TargetView[], request: RoutedRequest, {gateway, availabilityZone, now, random}: ChoiceContext): option.Option<TargetView> => {
	const candidates = usable(views, request, now);
	if (candidates.length === 0) {
		return option.none;
	}

	const own = ownSubset(candidates, gateway);
	const near = own.filter(view => view.availabilityZone === availabilityZone);
	const stable = request.kind === 'model' ? topRanked(candidates, request.prefix, stableCandidates) : [];
	const compared = [...stable, ...pickRandom(own, randomCandidates, random), ...pickRandom(near, randomCandidates, random)];
	const home = stable[0];
	const costs = compared.map(view => ({
		view,
		cost: estimateCost(view, request, view === home, now) + (view.availabilityZone === availabilityZone ? 0 : otherZoneMilliseconds),
	}));
	return option.some(costs.reduce((best, candidate) => candidate.cost < best.cost ? candidate : best).view);
};
