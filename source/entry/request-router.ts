/**
Finds the route of a request, picks a service of it, and starts the relay.
*/
import type http from 'node:http';
import * as option from 'fp-ts/lib/Option.js';
import type {ConfigurationInForce} from '../decisions/entry/configuration-in-force.js';
import type {FleetConfiguration} from '../fleet/fleet-configuration.js';
import {resultCode} from '../generated/result-codes.js';
import type {AttemptSender} from './attempt-sender.js';
import type {CallerAnswer} from './caller-answer.js';
import type {EntryContext} from './entry-context.js';
import {PlainRelay} from './plain-relay.js';
import type {PromptQueues} from './prompt-queues.js';
import {StreamRelay} from './stream-relay.js';

type RouterOptions = {
	readonly context: EntryContext;
	readonly inForce: ConfigurationInForce;
	readonly sender: AttemptSender;
	readonly queues: PromptQueues;
	/** When the store last answered. */
	readonly storeReadAt: () => number;
};

/**
One instance a process.

@example
```
router.route(request, body, answer, startedAt);
```
*/
export class RequestRouter {
	readonly #options: RouterOptions;

	constructor(options: RouterOptions) {
		this.#options = options;
	}

	/** Takes a request that was read whole. */
	route(request: http.IncomingMessage, body: Uint8Array | undefined, answer: CallerAnswer, startedAt: number): void {
		const {protocol} = this.#options.context;
		const facts = protocol.readRequest(request.rawHeaders);
		const path = request.url ?? '/';
		const found = this.#options.inForce.routes.find(request.headers.host ?? '', path);
		if (option.isNone(found)) {
			this.#refuseUnrouted(facts.requestId, answer);
			return;
		}

		const route = found.value;
		const waits = Math.min(route.timeoutMilliseconds, facts.patienceMilliseconds ?? route.timeoutMilliseconds);
		const service = this.#chooseService(route.split);
		const isModel = this.#options.context.service(service)?.engine !== undefined && route.kind === 'streaming';
		const callerRequest = {
			facts, route, service, configurationVersion: this.#options.inForce.version, method: request.method ?? 'GET', path, body, answer, startedAt, deadlineAt: startedAt + waits,
		};
		const relay = isModel ? new StreamRelay(callerRequest, this.#options.context, this.#options.sender, this.#options.queues) : new PlainRelay(callerRequest, this.#options.context, this.#options.sender);
		// Under load a caller may have left while its request waited to be read; two turns of the loop show that.
		setImmediate(() => {
			setImmediate(() => {
				if (!answer.isDone) {
					void this.#carry(relay, facts.requestId, answer);
				}
			});
		});
	}

	/** An error of our own fails that one request, never the process. */
	async #carry(relay: {readonly run: () => Promise<void>}, requestId: string, answer: CallerAnswer): Promise<void> {
		try {
			await relay.run();
		} catch (error) {
			this.#options.context.metrics.count('request.error');
			this.#options.context.log.error({event: 'request error', request: requestId, stack: (error as Error).stack ?? ''}, 'request failed by an error of the gateway');
			if (answer.isStarted) {
				answer.abort();
			} else {
				answer.sendError(resultCode.answerInvariantBroken, this.#options.context.protocol.writeRefusal(requestId));
			}
		}
	}

	/** A service by weight, among those with usable targets while there are any. */
	#chooseService(split: FleetConfiguration['routes'][number]['split']): string {
		const live = split.filter(({service}) => this.#options.context.beliefs.usable(service).length > 0);
		const candidates = live.length > 0 ? live : split;
		const total = candidates.reduce((sum, {weight}) => sum + weight, 0);
		let left = this.#options.context.random() * total;
		const chosen = candidates.find(({weight}) => {
			left -= weight;
			return left < 0;
		});
		return (chosen ?? candidates[0])?.service ?? '';
	}

	#refuseUnrouted(requestId: string, answer: CallerAnswer): void {
		const isSure = this.#options.inForce.isFresh(this.#options.context.now());
		const code = isSure ? resultCode.unknownService : resultCode.noConfiguration;
		this.#options.context.metrics.count(`request.refused.${code}`);
		this.#options.context.log.info({
			event: 'request ended', request: requestId, outcome: 'refused', code, configurationVersion: this.#options.inForce.version, storeAge: Math.round(this.#options.context.now() - this.#options.storeReadAt()),
		}, 'no route');
		answer.sendError(code, this.#options.context.protocol.writeRefusal(requestId), isSure ? undefined : 0.5);
	}
}
