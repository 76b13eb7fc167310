/**
Relays one call to a plain service.
*/
import * as option from 'fp-ts/lib/Option.js';
import {placeCall} from '../decisions/entry/place-call.js';
import {resultCode} from '../generated/result-codes.js';
import type {TargetRecord} from '../fleet/target-record.js';
import type {AttemptSender} from './attempt-sender.js';
import type {CallerRequest} from './caller-request.js';
import type {EntryContext} from './entry-context.js';
import {targetListStatus} from './target-list-status.js';
import {RequestCourse} from './request-course.js';
import {targetViews} from './target-views.js';

/**
Chooses a target, sends, and passes the whole answer on.

@example
```
await new PlainRelay(request, context, sender).run();
```
*/
export class PlainRelay {
	#isLive = false;
	readonly #request: CallerRequest;
	readonly #context: EntryContext;
	readonly #sender: AttemptSender;
	readonly #course: RequestCourse;

	constructor(request: CallerRequest, context: EntryContext, sender: AttemptSender) {
		this.#request = request;
		this.#context = context;
		this.#sender = sender;
		this.#course = new RequestCourse(request, context, {isRepeatable: () => this.#isRepeatable, hasLiveRun: () => this.#isLive});
	}

	get #isRepeatable(): boolean {
		return this.#request.route.kind === 'idempotent';
	}

	/** Runs the request to its final answer. */
	async run(): Promise<void> {
		this.#course.begin();
		await this.#relay();
	}

	async #relay(): Promise<void> {
		const target = this.#choose();
		if (option.isNone(target)) {
			this.#course.refuse(resultCode.noTarget, 800);
			return;
		}

		const isAgain = await this.#attempt(target.value);
		if (isAgain) {
			await this.#relay();
		}
	}

	#choose(): option.Option<TargetRecord> {
		const {random, settings} = this.#context;
		const {views, record} = targetViews(this.#context, this.#request.service);
		const chosen = placeCall({
			targets: views, availabilityZone: settings().availabilityZone, avoid: this.#course.avoid, random,
		});
		return option.isNone(chosen) ? option.none : option.some(record(chosen.value.id));
	}

	/** Sends once; true when the request is to be sent again. */
	async #attempt(target: TargetRecord): Promise<boolean> {
		const {facts, answer, method, path, body} = this.#request;
		this.#course.lines.add('call placed', {target: target.id, ...targetListStatus(this.#context)}, this.#context.now());
		const {outcome, cancel} = this.#sender.send({
			target,
			facts,
			method,
			path,
			body,
			instructions: {
				targetId: target.id, remainingMilliseconds: this.#course.remaining, rank: undefined, isPrefillOnly: false, handle: undefined, fetchFrom: undefined, lastEventId: undefined,
			},
			readMilliseconds: 0,
			mayStart: () => {
				this.#isLive = this.#course.mayArrive();
				return this.#isLive;
			},
			spill: () => ({
				head(head) {
					answer.start(head);
				},
				data(chunk, flow) {
					answer.write(chunk, flow);
				},
			}),
		});
		this.#course.attemptUnderWay(cancel);
		const result = await outcome;
		this.#isLive = false;
		if (this.#course.isOver) {
			return false;
		}

		switch (result.kind) {
			case 'answer': {
				answer.whole(result.facts, result.body);
				this.#course.over({outcome: 'answered'});
				return false;
			}

			case 'streamed': {
				this.#course.brokeOff();
				if (result.isWhole) {
					answer.end();
					this.#course.over({outcome: 'answered'});
				} else {
					this.#course.fail(resultCode.answerIncomplete, result.reason);
				}

				return false;
			}

			case 'not sent':
			case 'not run':
			case 'unknown':
			case 'failure': {
				return this.#course.mayGoOn(target, result);
			}
		}
	}
}
