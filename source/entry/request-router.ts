/**
Finds the route of a request, chooses one of the route's services, and starts the relay.
*/
import type http from 'node:http';
import * as option from 'fp-ts/lib/Option.js';
import type {RequestArrival} from '../callers/request-arrival.js';
import type {ConfigurationInForce} from '../decisions/entry/store/configuration-in-force.js';
import type {AccessDecision} from '../decisions/teams/access-decision.js';
import type {FleetConfiguration} from '../fleet/fleet-configuration.js';
import type {Route} from '../fleet/route.js';
import {resultCode} from '../generated/result-codes.js';
import type {AttemptSender} from './attempt-sender.js';
import type {CallerAnswer} from './caller-answer.js';
import type {CallerRequest} from './caller-request.js';
import type {EntryContext} from './entry-context.js';
import {PlainRelay} from './plain-relay.js';
import type {PromptQueues} from './prompt-queues.js';
import {StreamRelay} from './stream-relay.js';
import {TeamGate} from './team-gate.js';

type UnadmittedAccess = Exclude<AccessDecision, {readonly kind: 'admitted'}>;

type RouterOptions = {
	readonly context: EntryContext;
	readonly inForce: ConfigurationInForce;
	readonly sender: AttemptSender;
	readonly queues: PromptQueues;
	/** True once a new request could not be finished before the process ends. */
	readonly isDraining: () => boolean;
	/** When the configuration and the targets were last read from the store, whichever is earlier. */
	readonly storeReadAt: () => number;
};

type Refusal = {
	readonly code: number;
	readonly reason: string;
	/** Inputs of the decision, for the log. */
	readonly facts: Readonly<Record<string, number | string>>;
	readonly retryAfterSeconds?: number;
};

/** A caller that is refused during the drain may return at once, as another gateway takes it; up to twice this, so that callers are spread. */
const minRetrySeconds = 0.05;
const noConfigurationRetrySeconds = 0.5;
/** Upper bound of an age in log lines. A configuration that was never confirmed has this age. */
const maxReportedAgeMilliseconds = 3_600_000;

/**
One instance exists per process.

@example
```
router.route(request, body, answer, {at: startedAt, isSentAhead: false});
```
*/
export class RequestRouter {
	readonly #options: RouterOptions;
	readonly #gate: TeamGate;

	constructor(options: RouterOptions) {
		this.#options = options;
		this.#gate = new TeamGate(options);
	}

	/** Routes a request that was read completely. */
	route(request: http.IncomingMessage, body: Uint8Array | undefined, answer: CallerAnswer, arrival: RequestArrival): void {
		const {protocol} = this.#options.context;
		const facts = protocol.readRequest(request.rawHeaders);
		if (this.#options.isDraining()) {
			const retryAfterSeconds = minRetrySeconds * (1 + this.#options.context.random());
			this.#refuse(facts.requestId, answer, {
				code: resultCode.stopping, reason: 'request refused because the gateway is about to end', facts: {retryAfterSeconds}, retryAfterSeconds,
			});
			return;
		}

		const path = request.url ?? '/';
		const match = this.#options.inForce.routes.find(request.headers.host ?? '', path);
		if (option.isNone(match)) {
			this.#refuseUnrouted(facts.requestId, answer);
			return;
		}

		const route = match.value;
		const credentials = protocol.readCredentials(request.rawHeaders);
		const access = this.#gate.decide(route, credentials);
		if (access.kind !== 'admitted') {
			this.#refuseUnadmitted(facts.requestId, answer, access, route);
			return;
		}

		const {inForce} = this.#options;
		const {team} = access;
		const timeLimitMilliseconds = Math.min(route.timeoutMilliseconds, facts.patienceMilliseconds ?? route.timeoutMilliseconds);
		this.#start({
			facts: protocol.withTeam(facts, team),
			route,
			team,
			urgency: inForce.urgencyLevels.of(team, route),
			recheckAccess: () => this.#gate.recheck(team, route, credentials),
			service: this.#chooseService(route.split),
			configurationVersion: inForce.version,
			method: request.method ?? 'GET',
			path,
			body,
			answer,
			startedAt: arrival.at,
			isSentAhead: arrival.isSentAhead,
			deadlineAt: arrival.at + timeLimitMilliseconds,
		});
	}

	#start(request: CallerRequest): void {
		const {context, sender, queues} = this.#options;
		const {service, route, answer, facts} = request;
		const isModel = context.service(service)?.engine !== undefined && route.kind === 'streaming';
		const relay = isModel ? new StreamRelay(request, context, sender, queues) : new PlainRelay(request, context, sender);
		// Under load a caller may have disconnected while its request waited to be read. Two turns of the event loop let the server notice this.
		setImmediate(() => {
			setImmediate(() => {
				if (!answer.isDone) {
					void this.#runRelay(relay, facts.requestId, answer);
				}
			});
		});
	}

	/** Runs the relay. An error thrown by the gateway's own code fails only this request, not the process. */
	async #runRelay(relay: {readonly run: () => Promise<void>}, requestId: string, answer: CallerAnswer): Promise<void> {
		try {
			await relay.run();
		} catch (error) {
			this.#options.context.metrics.count('request.error');
			this.#options.context.log.error({event: 'request error', request: requestId, stack: (error as Error).stack ?? ''}, 'request failed because of an internal error of the gateway');
			if (answer.isStarted) {
				answer.abort();
			} else {
				answer.sendError(resultCode.answerInvariantBroken, this.#options.context.protocol.writeRefusal(requestId));
			}
		}
	}

	/** Chooses a service at random by weight, among those with usable targets if there are any. */
	#chooseService(split: FleetConfiguration['routes'][number]['split']): string {
		const available = split.filter(({service}) => this.#options.context.targetRegistry.usable(service).length > 0);
		const candidates = available.length > 0 ? available : split;
		const total = candidates.reduce((sum, {weight}) => sum + weight, 0);
		let remainingWeight = this.#options.context.random() * total;
		const chosen = candidates.find(({weight}) => {
			remainingWeight -= weight;
			return remainingWeight < 0;
		});
		return (chosen ?? candidates[0])?.service ?? '';
	}

	#refuseUnrouted(requestId: string, answer: CallerAnswer): void {
		const {inForce, context, storeReadAt} = this.#options;
		const now = context.now();
		const isFresh = inForce.isFresh(now);
		const facts = {configurationVersion: inForce.version, storeAge: Math.round(now - storeReadAt())};
		this.#refuse(requestId, answer, isFresh
			? {code: resultCode.unknownService, reason: 'no route', facts}
			: {
				code: resultCode.noConfiguration, reason: 'no route', facts, retryAfterSeconds: noConfigurationRetrySeconds,
			});
	}

	/** Refuses a request whose key the configuration in force does not know. That a newer one does not know it either is certain only while the one in force is fresh. */
	#refuseUnadmitted(requestId: string, answer: CallerAnswer, {kind, key}: UnadmittedAccess, route: Route): void {
		const {inForce, context} = this.#options;
		const confirmedAge = Math.round(Math.min(maxReportedAgeMilliseconds, inForce.confirmedAge(context.now())));
		const facts = {
			route: route.name, key, configurationVersion: inForce.version, confirmedAge,
		};
		switch (kind) {
			case 'denied': {
				this.#refuse(requestId, answer, {code: resultCode.unknownKey, reason: 'no key of a team', facts});
				return;
			}

			case 'undecided': {
				this.#refuse(requestId, answer, {
					code: resultCode.noConfiguration, reason: 'no key of a team in a configuration that may be outdated', facts, retryAfterSeconds: noConfigurationRetrySeconds,
				});
			}
		}
	}

	/** Refuses a request that no relay has begun. */
	#refuse(requestId: string, answer: CallerAnswer, {code, reason, facts, retryAfterSeconds}: Refusal): void {
		const {metrics, log, protocol} = this.#options.context;
		metrics.count(`request.refused.${code}`);
		log.info({
			event: 'request ended', request: requestId, outcome: 'refused', code, ...facts,
		}, reason);
		answer.sendError(code, protocol.writeRefusal(requestId), retryAfterSeconds);
	}
}
