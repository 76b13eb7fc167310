/**
State machine of the lease of a duty, as seen by one gateway.

It addresses a holder that is killed, frozen or cut off, a store that answers late, not at all, or
from an older copy, and answers that are lost. Whatever happens to the lease in the store, two
holders do not act within the lease's time of each other: a holder acts only while its lease,
measured from before its last renewal, is valid, and a new holder waits for as long as a
former one could have measured.
*/
import type {LeaseEffect} from './lease-effect.js';
import type {LeaseEvent} from './lease-event.js';
import type {LeaseState} from './lease-state.js';

type Decision = {readonly state: LeaseState; readonly effects: readonly LeaseEffect[]};
type Tick = Extract<LeaseEvent, {readonly kind: 'tick'}>;
type Holding = Extract<LeaseState, {readonly kind: 'holding'}>;
type Acquired = Extract<LeaseEvent, {readonly kind: 'acquired'}>;
type Renewed = Extract<LeaseEvent, {readonly kind: 'renewed'}>;

/** The lease is renewed after this share of its duration, so that two renewals may get no answer. */
const renewShare = 1 / 3;
/** Pause after a failed renewal, as a store that refuses at once would otherwise be called at every tick. */
const renewalRetryMilliseconds = 300;
/** A holder that was not heard for this long is taken as gone. It sends twice a second, and while it is heard the candidates do not read the store. */
const heardMilliseconds = 1800;
/** Interval between reads of the lease while no holder is heard. */
const lookPauseMilliseconds = 700;
/** Delay before a vacant lease is requested, per place in the order of the candidates. */
const rankDelayMilliseconds = 400;
/** Further delay of a gateway that reaches less than half of its peers, so that one on the larger side is first. */
const outnumberedDelayMilliseconds = 2500;
/** Time without contention after the platform has refused a token, or another holder has been found. */
const fencedPauseMilliseconds = 3000;

const follow = (lookAt: number, ...effects: readonly LeaseEffect[]): Decision => ({state: {kind: 'following', lookAt}, effects});

const isIdle = ({rank, heardAt}: Tick, now: number): boolean => rank === undefined || now - heardAt < heardMilliseconds;

const stepDown = ({token, lease}: Holding, reason: string, lookAt: number): Decision => follow(lookAt, {kind: 'step down', token, reason}, {kind: 'end lease', lease});

const onTickHolding = (state: Holding, {isOutnumbered}: Tick, now: number): Decision => {
	if (now >= state.validUntil) {
		return follow(now, {kind: 'step down', token: state.token, reason: 'expired'});
	}

	if (isOutnumbered) {
		return stepDown(state, 'outnumbered', now + outnumberedDelayMilliseconds);
	}

	return now >= state.renewAt && !state.isRenewing
		? {state: {...state, isRenewing: true}, effects: [{kind: 'renew', lease: state.lease}]}
		: {state, effects: []};
};

const onRenewed = (state: Holding, {askedAt, era, durationMilliseconds}: Renewed): Decision => {
	// The lease was lost when the store came back from an older copy; its number may have been given to another gateway since.
	if (era !== state.era) {
		return follow(askedAt, {kind: 'step down', token: state.token, reason: 'store restored'});
	}

	return {
		state: {
			...state, validUntil: Math.max(state.validUntil, askedAt + durationMilliseconds), renewAt: askedAt + (durationMilliseconds * renewShare), isRenewing: false,
		},
		effects: [],
	};
};

const onHolding = (state: Holding, event: LeaseEvent, now: number): Decision => {
	switch (event.kind) {
		case 'tick': {
			return onTickHolding(state, event, now);
		}

		case 'renewed': {
			return onRenewed(state, event);
		}

		case 'renewal failed': {
			return {state: {...state, renewAt: now + renewalRetryMilliseconds, isRenewing: false}, effects: []};
		}

		case 'lease lost': {
			return follow(now, {kind: 'step down', token: state.token, reason: 'lost'});
		}

		case 'give up': {
			return stepDown(state, event.reason, now + fencedPauseMilliseconds);
		}

		case 'resign': {
			return {state: {kind: 'resigned'}, effects: [{kind: 'step down', token: state.token, reason: 'planned stop'}, {kind: 'end lease', lease: state.lease}]};
		}

		case 'looked':
		case 'look failed':
		case 'acquired':
		case 'not acquired': {
			return {state, effects: []};
		}
	}
};

const hold = ({askedAt, durationMilliseconds, token, era, revision, lease}: Acquired, leaseMilliseconds: number, now: number): Decision => {
	const validUntil = askedAt + durationMilliseconds;
	// A process that was frozen during the acquisition may learn of it when the lease has expired.
	if (now >= validUntil) {
		return follow(now, {kind: 'end lease', lease});
	}

	return {
		state: {
			kind: 'holding',
			token,
			era,
			revision,
			lease,
			validUntil,
			actsFrom: now + Math.max(leaseMilliseconds, durationMilliseconds),
			renewAt: askedAt + (durationMilliseconds * renewShare),
			isRenewing: false,
		},
		effects: [{kind: 'hold', token}],
	};
};

const onAcquiring = (state: LeaseState, event: LeaseEvent, leaseMilliseconds: number, now: number): Decision => {
	if (event.kind === 'acquired') {
		return hold(event, leaseMilliseconds, now);
	}

	return event.kind === 'not acquired' ? follow(now + lookPauseMilliseconds) : {state, effects: []};
};

const onLooking = (state: LeaseState, event: LeaseEvent, now: number): Decision => {
	if (event.kind === 'looked' && event.isVacant) {
		return {state: {kind: 'vacant', acquireAt: now}, effects: []};
	}

	return event.kind === 'looked' || event.kind === 'look failed' ? follow(now + lookPauseMilliseconds) : {state, effects: []};
};

const onVacant = (state: Extract<LeaseState, {readonly kind: 'vacant'}>, event: LeaseEvent, now: number): Decision => {
	if (event.kind !== 'tick') {
		return {state, effects: []};
	}

	const delay = ((event.rank ?? 0) * rankDelayMilliseconds) + (event.isOutnumbered ? outnumberedDelayMilliseconds : 0);
	if (isIdle(event, now)) {
		return follow(now);
	}

	return now >= state.acquireAt + delay ? {state: {kind: 'acquiring'}, effects: [{kind: 'acquire'}]} : {state, effects: []};
};

/**
Returns the next state of the lease at one gateway and the effects to carry out.

`leaseMilliseconds` is the time within which holders must not alternate.

@example
```
decideLease({kind: 'following', lookAt: 0}, {kind: 'tick', rank: 0, heardAt, isOutnumbered: false}, 3000, clock());
```
*/
export const decideLease = (state: LeaseState, event: LeaseEvent, leaseMilliseconds: number, now: number): Decision => {
	if (event.kind === 'resign' && state.kind !== 'holding') {
		return {state: {kind: 'resigned'}, effects: []};
	}

	switch (state.kind) {
		case 'following': {
			return event.kind === 'tick' && now >= state.lookAt && !isIdle(event, now)
				? {state: {kind: 'looking'}, effects: [{kind: 'look'}]}
				: {state, effects: []};
		}

		case 'looking': {
			return onLooking(state, event, now);
		}

		case 'vacant': {
			return onVacant(state, event, now);
		}

		case 'acquiring': {
			return onAcquiring(state, event, leaseMilliseconds, now);
		}

		case 'holding': {
			return onHolding(state, event, now);
		}

		case 'resigned': {
			// An acquisition that was under way when the process was told to end.
			return event.kind === 'acquired' ? {state, effects: [{kind: 'end lease', lease: event.lease}]} : {state, effects: []};
		}
	}
};
