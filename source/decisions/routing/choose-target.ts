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

const stableCandidates = 2;
const randomCandidates = 2;
/** Cost in milliseconds that a target in another availability zone is charged. */
const otherZoneMilliseconds = 3;
/** At least this share of a service's targets stays in use, however many are ejected. */
const usableFloor = 0.5;

type ChoiceContext = {
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

const pickStable = (views: readonly TargetView[], prefix: string): readonly TargetView[] => views
	.map(view => ({view, score: rendezvousScore(prefix, view.name)}))
	.sort((first, second) => second.score - first.score)
	.slice(0, stableCandidates)
	.map(({view}) => view);

/**
Returns the target to try next, or none when there is no usable one.

@example
```
const chosen = chooseTarget(views, request, {availabilityZone, now: clock(), random: Math.random});
```
*/
export const chooseTarget = (views: readonly TargetView[], request: RoutedRequest, {availabilityZone, now, random}: ChoiceContext): option.Option<TargetView> => {
	const candidates = usable(views, request, now);
	if (candidates.length === 0) {
		return option.none;
	}

	const near = candidates.filter(view => view.availabilityZone === availabilityZone);
	const stable = request.kind === 'model' ? pickStable(candidates, request.prefix) : [];
	const compared = [...stable, ...pickRandom(candidates, randomCandidates, random), ...pickRandom(near, randomCandidates, random)];
	const home = stable[0];
	const costs = compared.map(view => ({
		view,
		cost: estimateCost(view, request, view === home, now) + (view.availabilityZone === availabilityZone ? 0 : otherZoneMilliseconds),
	}));
	return option.some(costs.reduce((best, candidate) => candidate.cost < best.cost ? candidate : best).view);
};
