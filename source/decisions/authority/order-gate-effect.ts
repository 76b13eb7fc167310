/**
What a sidecar does next about orders.
*/
import type {Order} from '../../generated/messages.js';

/**
Effects of one event, carried out in order.

- `empty target`: let running work end and start none, until `release target`.
- `read authority`: ask the store who holds the service's lease.
- `execute`: give the order to the engine; the only effect that reaches it.
*/
export type OrderGateEffect =
	| {readonly kind: 'empty target'}
	| {readonly kind: 'release target'}
	| {readonly kind: 'read authority'; readonly service: string; readonly fencingNumber: number}
	| {readonly kind: 'execute'; readonly order: Order; readonly fencingNumber: number; readonly sequence: number}
	| {readonly kind: 'reply fence raised'; readonly link: string; readonly fencingNumber: number; readonly settled: boolean}
	| {readonly kind: 'reply order result'; readonly link: string; readonly fencingNumber: number; readonly sequence: number; readonly code: number};
