/**
Performs the effects that the order gate returns.
*/
import type {OrderGateEffect} from '../decisions/authority/order-gate-effect.js';
import type {OrderGateEvent} from '../decisions/authority/order-gate-event.js';
import type {OrderGate} from '../decisions/authority/order-gate.js';
import type {Load, Message} from '../generated/messages.js';
import {resultCode} from '../generated/result-codes.js';
import {readAuthority} from '../leading/read-authority.js';
import type {KeyValueService} from '../ports/key-value-service.js';
import type {Target} from '../ports/target.js';
import {clock} from '../shared/clock.js';
import {catchInvariantError} from '../shared/catch-invariant-error.js';
import {logger} from '../shared/logger.js';
import type {Metrics} from '../shared/metrics.js';

const log = logger.child({module: 'orders'});

type ExecutorOptions = {
	readonly gate: OrderGate;
	readonly target: Target;
	readonly store: KeyValueService;
	readonly metrics: Metrics;
	readonly load: () => Load;
	readonly send: (link: string, message: Message) => void;
	readonly setDraining: (draining: boolean) => void;
};

/**
Connects one order gate to the target, the store and the links.

@example
```
executor.dispatch({kind: 'order', link, message});
```
*/
export class OrderExecutor {
	readonly #options: ExecutorOptions;

	constructor(options: ExecutorOptions) {
		this.#options = options;
	}

	/** Passes one event to the gate and performs its effects in order. */
	dispatch(event: OrderGateEvent): void {
		const {gate, metrics} = this.#options;
		catchInvariantError(metrics, {event: event.kind}, () => {
			for (const effect of gate.handle(event, clock())) {
				this.#perform(effect);
			}
		});
	}

	#perform(effect: OrderGateEffect): void {
		const {setDraining, send, load, metrics} = this.#options;
		switch (effect.kind) {
			case 'empty target': {
				setDraining(true);
				break;
			}

			case 'release target': {
				setDraining(false);
				break;
			}

			case 'read authority': {
				void this.#readAuthority(effect.service, effect.fencingNumber);
				break;
			}

			case 'execute': {
				void this.#execute(effect);
				break;
			}

			case 'reply fence raised': {
				send(effect.link, {
					kind: 'fence raised', fencingNumber: effect.fencingNumber, settled: effect.settled, load: load(),
				});
				break;
			}

			case 'reply order result': {
				metrics.count(`order.result.${effect.code}`);
				send(effect.link, {
					kind: 'order result', fencingNumber: effect.fencingNumber, sequence: effect.sequence, code: effect.code, load: load(),
				});
				break;
			}
		}
	}

	async #readAuthority(service: string, fencingNumber: number): Promise<void> {
		const authority = await readAuthority(this.#options.store, service, fencingNumber);
		this.dispatch({kind: 'authority read', fencingNumber, ...authority});
	}

	async #execute({order, fencingNumber, sequence}: Extract<OrderGateEffect, {readonly kind: 'execute'}>): Promise<void> {
		log.info({...order, fencingNumber, sequence}, 'sending order to the engine');
		const result = await this.#options.target.order(order, fencingNumber, sequence);
		const code = result.match(() => resultCode.ok, failure => failure.code);
		if (result.isErr()) {
			log.warn({code, fencingNumber, sequence}, result.error.detail);
		}

		this.dispatch({kind: 'order ended', sequence, code});
	}
}
