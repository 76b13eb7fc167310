/**
State machine of the leader election of one service, as seen by one gateway.

It guarantees that a gateway gives orders only while it certainly holds the
lease. A new leader gives a sidecar no order until that sidecar has raised its
fencing number, which fences off the previous leader, and its engine carries out
no earlier order.
*/
import type {LeadershipEffect} from './leadership-effect.js';
import type {LeadershipEvent} from './leadership-event.js';
import type {LeadershipState} from './leadership-state.js';

type Decision = {readonly state: LeadershipState; readonly effects: readonly LeadershipEffect[]};
type Following = Extract<LeadershipState, {readonly kind: 'following'}>;
type HoldingLease = Extract<LeadershipState, {readonly kind: 'raising' | 'leading'}>;
type Tick = Extract<LeadershipEvent, {readonly kind: 'tick'}>;

const millisecondsPerSecond = 1000;
/** The lease is renewed after this share of its duration. */
const renewShare = 1 / 3;
/** The leader steps down this long before its lease expires; this allows for the transit time of an order and for a pause of the process. */
const safetyMarginMilliseconds = 1000;

const becomeFollower = (acquireAt: number, ...effects: readonly LeadershipEffect[]): Decision => ({state: {kind: 'following', acquireAt}, effects});

const onTickFollowing = (state: Following, {isCandidate}: Tick, now: number): Decision => !isCandidate || now < state.acquireAt
	? {state, effects: []}
	: {state: {kind: 'acquiring'}, effects: [{kind: 'acquire'}]};

const raiseFences = (state: HoldingLease, targets: readonly string[]): readonly LeadershipEffect[] => targets
	.filter(target => !state.settledTargets.includes(target))
	.map(target => ({kind: 'raise fence', target, fencingNumber: state.fencingNumber}));

const onTickHolding = (state: HoldingLease, {targets}: Tick, now: number): Decision => {
	if (now >= state.validUntil - safetyMarginMilliseconds) {
		return becomeFollower(now, {kind: 'step down'});
	}

	const shouldRenew = now >= state.renewAt && !state.renewing;
	return {
		state: {...state, renewing: state.renewing || shouldRenew},
		effects: [...shouldRenew ? [{kind: 'renew' as const, lease: state.lease}] : [], ...raiseFences(state, targets)],
	};
};

const onHolding = (state: HoldingLease, event: Exclude<LeadershipEvent, {readonly kind: 'acquired' | 'not acquired'}>, now: number): Decision => {
	switch (event.kind) {
		case 'tick': {
			return onTickHolding(state, event, now);
		}

		case 'renewed': {
			const isHeld = event.seconds > 0;
			const validUntil = event.askedAt + (event.seconds * millisecondsPerSecond);
			return isHeld
				? {
					state: {
						...state, validUntil, renewAt: event.askedAt + (event.seconds * millisecondsPerSecond * renewShare), renewing: false,
					},
					effects: [],
				}
				: becomeFollower(now, {kind: 'step down'});
		}

		case 'renewal failed': {
			return {state: {...state, renewing: false}, effects: []};
		}

		case 'fence raised': {
			return onFenceRaised(state, event, now);
		}

		case 'resign': {
			return becomeFollower(Number.POSITIVE_INFINITY, {kind: 'step down'}, {kind: 'release', lease: state.lease});
		}
	}
};

const onFenceRaised = (state: HoldingLease, {target, fencingNumber, settled}: Extract<LeadershipEvent, {readonly kind: 'fence raised'}>, now: number): Decision => {
	if (fencingNumber > state.fencingNumber) {
		// There is a newer leader, so this gateway has lost the lease even if it has not expired by its own clock.
		return becomeFollower(now, {kind: 'step down'});
	}

	if (!settled || state.settledTargets.includes(target)) {
		return {state, effects: []};
	}

	const next: HoldingLease = {...state, kind: 'leading', settledTargets: [...state.settledTargets, target]};
	return {state: next, effects: state.kind === 'leading' ? [] : [{kind: 'lead', fencingNumber: state.fencingNumber}]};
};

/**
Returns the next state of one service's leadership and the effects to carry out.

@example
```
decideLeadership({kind: 'following', acquireAt: 0}, {kind: 'tick', isCandidate: true, targets}, clock());
```
*/
export const decideLeadership = (state: LeadershipState, event: LeadershipEvent, now: number): Decision => {
	switch (state.kind) {
		case 'following': {
			return event.kind === 'tick' ? onTickFollowing(state, event, now) : {state, effects: []};
		}

		case 'acquiring': {
			return onAcquiring(state, event, now);
		}

		case 'raising':
		case 'leading': {
			return event.kind === 'acquired' || event.kind === 'not acquired' ? {state, effects: []} : onHolding(state, event, now);
		}
	}
};

/** Delay before the lease is requested again after a failed attempt. */
const retryMilliseconds = 2000;

const onAcquiring = (state: LeadershipState, event: LeadershipEvent, now: number): Decision => {
	if (event.kind === 'not acquired') {
		return becomeFollower(now + retryMilliseconds);
	}

	if (event.kind !== 'acquired') {
		return {state, effects: []};
	}

	const {askedAt, fencingNumber, lease, seconds} = event;
	const validUntil = askedAt + (seconds * millisecondsPerSecond);
	return {
		state: {
			kind: 'raising', fencingNumber, lease, validUntil, renewAt: askedAt + (seconds * millisecondsPerSecond * renewShare), renewing: false, settledTargets: [],
		},
		effects: [],
	};
};
