/**
Port to what targets and callers speak on a platform.
*/
import type {Option} from 'fp-ts/lib/Option.js';
import type {AnswerFacts} from '../fleet/answer-facts.js';
import type {RequestFacts} from '../fleet/request-facts.js';
import type {KeptChanges} from '../fleet/kept-changes.js';
import type {SendInstructions} from '../fleet/send-instructions.js';

type KeptQuestion = {readonly path: string; readonly headers: Readonly<Record<string, string>>};

type AnswerHeaders = Readonly<Record<string, string | readonly string[] | undefined>>;

/**
Translates headers and bodies; holds no state and decides nothing.

@example
```
const facts = protocol.readRequest(request.rawHeaders);
```
*/
export type TargetProtocol = {
	/** Path that callers of the platform's balancer ask for readiness. */
	readonly readinessPath: string;
	readRequest(rawHeaders: readonly string[]): RequestFacts;
	writeAttempt(facts: RequestFacts, instructions: SendInstructions): readonly string[];
	readAnswer(status: number, headers: AnswerHeaders): AnswerFacts;
	/** Headers of a final answer of our own. */
	writeRefusal(requestId: string): Readonly<Record<string, string>>;
	/** The handle of a prompt that was read, or none when the body cannot be read. */
	readPrefill(body: Uint8Array): Option<{readonly id: string; readonly tokens: number}>;
	/** Asks an engine what has changed in what it keeps since a number that it gave; it answers when there is something, or after the wait. */
	askKeptChanges(targetId: string, since: number, waitMilliseconds: number): KeptQuestion;
	/** Asks an engine for all that it keeps. */
	askAllKept(targetId: string): KeptQuestion;
	/** The answer to either question, or none when it cannot be read. */
	readKept(body: string): Option<KeptChanges>;
	/** Method and path that free a handle. */
	freeHandle(id: string): {readonly method: 'DELETE'; readonly path: string};
};
