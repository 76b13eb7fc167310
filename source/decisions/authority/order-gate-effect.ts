/**
Actions that the order gate requests from its sidecar.
*/
import type {Order} from '../../generated/messages.js';

/**
Effects of one event, carried out in order.

- `empty target`: drain the target, that is, let running work end and start no new work.
- `release target`: end the draining, so that new work may start.
- `read authority`: read from the store who holds the service's lease.
- `execute`: send the order to the engine; no other effect reaches the engine.
- `reply fence raised`, `reply order result`: answer the leader over the link.
*/
export type OrderGateEffect =
	| {readonly kind: 'empty target'}
	| {readonly kind: 'release target'}
	| {readonly kind: 'read authority'; readonly service: string; readonly fencingNumber: number}
	| {readonly kind: 'execute'; readonly order: Order; readonly fencingNumber: number; readonly sequence: number}
	| {readonly kind: 'reply fence raised'; readonly link: string; readonly fencingNumber: number; readonly settled: boolean}
	| {readonly kind: 'reply order result'; readonly link: string; readonly fencingNumber: number; readonly sequence: number; readonly code: number};
