/**
Decides how one gateway comes to lead one service and when it stops.

The promise kept here: a gateway gives orders only while its lease is surely
held, and a new leader gives none to a sidecar before that sidecar has raised
its fencing number and its engine has settled.
*/
import type {LeadershipEffect} from './leadership-effect.js';
import type {LeadershipEvent} from './leadership-event.js';
import type {LeadershipState} from './leadership-state.js';

type Decision = {readonly state: LeadershipState; readonly effects: readonly LeadershipEffect[]};
type Following = Extract<LeadershipState, {readonly kind: 'following'}>;
type Holding = Extract<LeadershipState, {readonly kind: 'raising' | 'leading'}>;
type Tick = Extract<LeadershipEvent, {readonly kind: 'tick'}>;

const millisecondsPerSecond = 1000;
const renewShare = 1 / 3;
/** Authority ends this long before the lease does, for the way of an order and a pause of the process. */
const safetyMilliseconds = 1000;

const follow = (tryAt: number, ...effects: readonly LeadershipEffect[]): Decision => ({state: {kind: 'following', tryAt}, effects});

const onTickFollowing = (state: Following, {isCandidate}: Tick, now: number): Decision => !isCandidate || now < state.tryAt
	? {state, effects: []}
	: {state: {kind: 'acquiring'}, effects: [{kind: 'acquire'}]};

const raiseMissing = (state: Holding, targets: readonly string[]): readonly LeadershipEffect[] => targets
	.filter(target => !state.settled.includes(target))
	.map(target => ({kind: 'raise fence', target, fencingNumber: state.fencingNumber}));

const onTickHolding = (state: Holding, {targets}: Tick, now: number): Decision => {
	if (now >= state.validUntil - safetyMilliseconds) {
		return follow(now, {kind: 'step down'});
	}

	const shouldRenew = now >= state.renewAt && !state.renewing;
	return {
		state: {...state, renewing: state.renewing || shouldRenew},
		effects: [...shouldRenew ? [{kind: 'renew' as const, lease: state.lease}] : [], ...raiseMissing(state, targets)],
	};
};

const onHolding = (state: Holding, event: Exclude<LeadershipEvent, {readonly kind: 'acquired' | 'not acquired'}>, now: number): Decision => {
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
				: follow(now, {kind: 'step down'});
		}

		case 'renewal failed': {
			return {state: {...state, renewing: false}, effects: []};
		}

		case 'fence raised': {
			return onFenceRaised(state, event, now);
		}

		case 'resign': {
			return follow(Number.POSITIVE_INFINITY, {kind: 'step down'}, {kind: 'release', lease: state.lease});
		}
	}
};

const onFenceRaised = (state: Holding, {target, fencingNumber, settled}: Extract<LeadershipEvent, {readonly kind: 'fence raised'}>, now: number): Decision => {
	if (fencingNumber > state.fencingNumber) {
		// A later leader exists, so the lease has been lost whatever the clock says.
		return follow(now, {kind: 'step down'});
	}

	if (!settled || state.settled.includes(target)) {
		return {state, effects: []};
	}

	const next: Holding = {...state, kind: 'leading', settled: [...state.settled, target]};
	return {state: next, effects: state.kind === 'leading' ? [] : [{kind: 'lead', fencingNumber: state.fencingNumber}]};
};

/**
Returns the next state and effects of one service's leadership.

@example
```
decideLeadership({kind: 'following', tryAt: 0}, {kind: 'tick', isCandidate: true, targets}, clock());
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

const retryMilliseconds = 2000;

const onAcquiring = (state: LeadershipState, event: LeadershipEvent, now: number): Decision => {
	if (event.kind === 'not acquired') {
		return follow(now + retryMilliseconds);
	}

	if (event.kind !== 'acquired') {
		return {state, effects: []};
	}

	const {askedAt, fencingNumber, lease, seconds} = event;
	const validUntil = askedAt + (seconds * millisecondsPerSecond);
	return {
		state: {
			kind: 'raising', fencingNumber, lease, validUntil, renewAt: askedAt + (seconds * millisecondsPerSecond * renewShare), renewing: false, settled: [],
		},
		effects: [],
	};
};
