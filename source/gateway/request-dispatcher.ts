/**
Runs callers' requests: claims where a key asks for it, then attempts.
*/
import {RetryBudget} from '../decisions/request/retry-budget.js';
import type {TargetDirectory} from '../decisions/routing/target-directory.js';
import type {ServiceConfiguration} from '../generated/configuration.js';
import type {KeyValueService} from '../ports/key-value-service.js';
import {clock} from '../shared/clock.js';
import {describeCode} from '../shared/describe-code.js';
import type {Metrics} from '../shared/metrics.js';
import type {CallerSink} from './caller-sink.js';
import type {GatewayRequest} from './gateway-request.js';
import {IdempotencyClaims} from './idempotency-claims.js';
import {RequestRunner} from './request-runner.js';
import type {TargetLinks} from './target-links.js';

const defaultRetryShare = 0.2;
const claimRetryMilliseconds = 1000;

type DispatcherOptions = {
	readonly gateway: string;
	readonly availabilityZone: string;
	readonly store: KeyValueService;
	readonly directory: TargetDirectory;
	readonly links: TargetLinks;
	readonly metrics: Metrics;
};
type Outcome = 'ran' | 'not run' | 'unknown';

/**
All requests of one gateway that have no final answer yet.

@example
```
const callerGone = dispatcher.run(request, sink);
```
*/
export class RequestDispatcher {
	readonly #options: DispatcherOptions;
	readonly #claims: IdempotencyClaims;
	readonly #budgets = new Map<string, RetryBudget>();
	#live = 0;

	constructor(options: DispatcherOptions) {
		this.#options = options;
		this.#claims = new IdempotencyClaims(options.store, options.metrics);
	}

	/** Requests without a final answer or with a claim still to be settled. */
	get live(): number {
		return this.#live;
	}

	/** Claims whose record still has to be put right. */
	get pendingClaims(): number {
		return this.#claims.pending;
	}

	/** Takes the configured retry shares. */
	configure(services: readonly ServiceConfiguration[]): void {
		for (const {name, retryShare} of services) {
			this.#budget(name).setShare(retryShare ?? defaultRetryShare);
		}
	}

	/** Starts a request; the returned function tells that its caller has gone. */
	run(request: GatewayRequest, sink: CallerSink): () => void {
		this.#live += 1;
		if (!request.repeatable && request.idempotencyKey !== '') {
			void this.#runClaimed(request, sink);
			// A claimed call runs to its end, so that its outcome can be recorded.
			return () => undefined;
		}

		const runner = this.#createRunner(request, sink, () => {
			this.#live -= 1;
		});
		runner.start();
		return () => {
			runner.callerGone();
		};
	}

	close(): void {
		this.#claims.close();
	}

	#budget(service: string): RetryBudget {
		const known = this.#budgets.get(service) ?? new RetryBudget(defaultRetryShare);
		this.#budgets.set(service, known);
		return known;
	}

	async #runClaimed(request: GatewayRequest, sink: CallerSink): Promise<void> {
		const startedAt = clock();
		const claim = await this.#claims.claim(request);
		if (claim.isErr()) {
			this.#live -= 1;
			this.#answerUnclaimed(claim.error, sink);
			return;
		}

		const deadlineMilliseconds = request.deadlineMilliseconds - (clock() - startedAt);
		let outcome: Outcome = 'unknown';
		const watched: CallerSink = {
			write(text) {
				sink.write(text);
			},
			complete(...end) {
				outcome = 'ran';
				sink.complete(...end);
			},
			refuse(...refusal) {
				outcome = 'not run';
				sink.refuse(...refusal);
			},
			fail(code) {
				outcome = describeCode(code).outcome;
				sink.fail(code);
			},
		};
		this.#createRunner({...request, deadlineMilliseconds}, watched, () => {
			void this.#settle(claim.value, outcome);
		}).start();
	}

	#answerUnclaimed(code: number, sink: CallerSink): void {
		if (describeCode(code).outcome === 'not run') {
			sink.refuse(code, claimRetryMilliseconds);
			return;
		}

		sink.fail(code);
	}

	async #settle(claim: Parameters<IdempotencyClaims['settle']>[0], outcome: Outcome): Promise<void> {
		await this.#claims.settle(claim, outcome);
		this.#live -= 1;
	}

	#createRunner(request: GatewayRequest, sink: CallerSink, onDone: () => void): RequestRunner {
		const {gateway, availabilityZone, links, directory, metrics} = this.#options;
		return new RequestRunner(request, sink, {
			gateway, availabilityZone, links, directory, budget: this.#budget(request.service), metrics, onDone,
		});
	}
}
