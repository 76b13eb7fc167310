/**
What a newer configuration means for a request that was admitted by an earlier one.
*/
import type {AccessDecision} from './access-decision.js';

type Unadmitted = Extract<AccessDecision, {readonly kind: 'denied' | 'undecided'}>;

/**
- `unchanged`: it may run as it was admitted.
- `moved`: it would be admitted, but not for the same team, so it may not run as it was admitted.
- `denied`, `undecided`: as in `AccessDecision`.
*/
export type AccessChange = {readonly kind: 'unchanged'} | {readonly kind: 'moved'} | Unadmitted;
