/**
Chooses the target of a request from what one gateway knows.

A few candidates are compared by estimated cost: those that rendezvous hashing
of the prompt prefix ranks highest, and random ones. The hash gives the same
candidates at every gateway, so prompts with a shared prefix reach the same
prefix cache without shared state. Random candidates avoid herding: gateways
that do not coordinate would otherwise all choose the target whose latest report
shows the lowest load.
*/
import * as option from 'fp-ts/lib/Option.js';
import {estimateCost} from './estimate-cost.js';
import {rendezvousScore} from './rendezvous-score.js';
import type {RoutedRequest} from './routed-request.js';
import type {TargetView} from './target-view.js';

/** Number of candidates that are ranked highest by the hash of the prefix. */
const prefixCandidateCount = 2;
/** Number of candidates drawn from the subset, and again from the subset's targets in the gateway's availability zone. */
const randomCandidateCount = 2;
/** Number of targets of a service from which one gateway draws its random candidates. */
const subsetSize = 16;
/** Cost that is added for a target in another availability zone. */
const crossZoneMilliseconds = 3;
/** Ejection is ignored when fewer than this share of a service's targets would remain. */
const minUsableShare = 0.5;

type ChoiceContext = {
	/** Name of the gateway that chooses. */
	readonly gateway: string;
	readonly availabilityZone: string;
	readonly now: number;
	/** Uniform in [0, 1). */
	readonly random: () => number;
};

/**
Targets that may receive the request. Leaving targets and those that the request
has to avoid are excluded. Ejected targets are excluded too, unless too few would
remain or the request has to avoid all others.
*/
const eligibleTargets = (views: readonly TargetView[], request: RoutedRequest, now: number): readonly TargetView[] => {
	const notLeaving = views.filter(view => !view.leaving && !view.listedLeaving);
	const healthy = notLeaving.filter(view => view.ejectedUntil <= now);
	const available = healthy.length >= notLeaving.length * minUsableShare ? healthy : notLeaving;
	const notAvoided = available.filter(view => !request.avoid.includes(view.name));
	return notAvoided.length > 0 ? notAvoided : notLeaving.filter(view => !request.avoid.includes(view.name));
};

const pickRandom = (views: readonly TargetView[], count: number, random: () => number): readonly TargetView[] =>
	Array.from({length: Math.min(count, views.length)}, () => views[Math.floor(random() * views.length)]!);

const topRanked = (views: readonly TargetView[], key: string, count: number): readonly TargetView[] => views
	.map(view => ({view, score: rendezvousScore(key, view.name)}))
	.sort((first, second) => second.score - first.score)
	.slice(0, count)
	.map(({view}) => view);

/** The subset of a large service from which this gateway draws random candidates. It is chosen by rendezvous hashing, so that the number of links of a gateway stays bounded. */
const gatewaySubset = (views: readonly TargetView[], gateway: string): readonly TargetView[] =>
	views.length <= subsetSize ? views : topRanked(views, gateway, subsetSize);

/**
Returns the target to try next, or none when no target is eligible.

@example
```
const chosen = chooseTarget(views, request, {gateway: 'entry-1', availabilityZone, now: clock(), random: Math.random});
```
*/
export const chooseTarget = (views: readonly TargetView[], request: RoutedRequest, {gateway, availabilityZone, now, random}: ChoiceContext): option.Option<TargetView> => {
	const eligible = eligibleTargets(views, request, now);
	if (eligible.length === 0) {
		return option.none;
	}

	const subset = gatewaySubset(eligible, gateway);
	const sameZone = subset.filter(view => view.availabilityZone === availabilityZone);
	const prefixCandidates = request.kind === 'model' ? topRanked(eligible, request.prefix, prefixCandidateCount) : [];
	const candidates = [...prefixCandidates, ...pickRandom(subset, randomCandidateCount, random), ...pickRandom(sameZone, randomCandidateCount, random)];
	const affinityTarget = prefixCandidates[0];
	const costs = candidates.map(view => ({
		view,
		cost: estimateCost(view, request, view === affinityTarget, now) + (view.availabilityZone === availabilityZone ? 0 : crossZoneMilliseconds),
	}));
	return option.some(costs.reduce((best, candidate) => candidate.cost < best.cost ? candidate : best).view);
};
