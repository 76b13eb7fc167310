/**
Decides which gateway issues the permits of a target, and how many of them.

The load that it answers: dozens of gateways send to a target that takes four requests a second
from all of them together, while gateways start, stop and lose sight of each other. What two of them
issue at the same time adds up, so:

- One gateway issues the permits of a target, by rendezvous hashing over the addresses.
- A gateway that others have just reported counts as a candidate even if this one cannot reach it.
  So a gateway takes over only some time after everyone has lost the former owner.
- An owner issues only the part of the limit that belongs to the gateways that it reaches, of all
  that may be running. Two halves of a divided fleet then issue no more than the whole.
*/
import {engineOwner} from '../entry/prompts/engine-owner.js';
import type {FleetView} from './fleet-view.js';

/** A gateway that nobody has reported for this long owns nothing. Gateways report each other every second, or every two in a large fleet. */
const candidateMilliseconds = 3000;

type PermitOwner =
	| {readonly kind: 'own'; /** Part of the limit that may be issued. */ readonly share: number}
	| {readonly kind: 'peer'; readonly name: string}
	| {readonly kind: 'unreachable'};

const shareOf = ({linked, unlinked}: FleetView): number => {
	const reached = 1 + linked.length;
	return reached / (reached + unlinked.length);
};

/**
Returns the owner of a target's permits, as far as this gateway can tell.

@example
```
permitOwner('engine-3 17', {own: '10.0.0.1:8146', linked: [], unlinked: []}); // {kind: 'own', share: 1}
```
*/
export const permitOwner = (incarnation: string, fleet: FleetView): PermitOwner => {
	const {own, linked, unlinked} = fleet;
	const reported = unlinked.filter(({ageMilliseconds}) => ageMilliseconds < candidateMilliseconds);
	const owner = engineOwner(incarnation, [own, ...linked.map(({address}) => address), ...reported.map(({address}) => address)]);
	if (owner === own) {
		return {kind: 'own', share: shareOf(fleet)};
	}

	const peer = linked.find(({address}) => address === owner);
	return peer === undefined ? {kind: 'unreachable'} : {kind: 'peer', name: peer.name};
};
