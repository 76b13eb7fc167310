/**
What a gateway does next about leading a service.
*/

/**
Effects of one event, carried out in order. `lead` allows orders to be planned;
`step down` forbids them at once.
*/
export type LeadershipEffect =
	| {readonly kind: 'acquire'}
	| {readonly kind: 'renew'; readonly lease: string}
	| {readonly kind: 'release'; readonly lease: string}
	| {readonly kind: 'raise fence'; readonly target: string; readonly fencingNumber: number}
	| {readonly kind: 'lead'; readonly fencingNumber: number}
	| {readonly kind: 'step down'};
