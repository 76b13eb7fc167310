/**
Interface to the HTTP protocol that targets and callers use on a platform.
*/
import type {Option} from 'fp-ts/lib/Option.js';
import type {AnswerFacts} from '../fleet/answer-facts.js';
import type {RequestFacts} from '../fleet/request-facts.js';
import type {RequestTeam} from '../fleet/request-team.js';
import type {CacheChanges} from '../fleet/cache-changes.js';
import type {SendInstructions} from '../fleet/send-instructions.js';

type CacheRequest = {readonly path: string; readonly headers: Readonly<Record<string, string>>};

type AnswerHeaders = Readonly<Record<string, string | readonly string[] | undefined>>;

/**
Encodes and decodes headers and bodies. It holds no state and takes no decisions.

@example
```
const facts = protocol.readRequest(request.rawHeaders);
```
*/
export type TargetProtocol = {
	/** Path of the readiness check of the platform's load balancer. */
	readonly readinessPath: string;
	/** Decodes the headers of a caller's request. */
	readRequest(rawHeaders: readonly string[]): RequestFacts;
	/** Decodes the id of a caller's request alone; empty when it has none. */
	readRequestId(rawHeaders: readonly string[]): string;
	/** Returns the keys that a caller's request carries, one for each header with a key. They are secrets. */
	readCredentials(rawHeaders: readonly string[]): readonly string[];
	/** Returns the facts of a request with the name of its team, and without its key, in the headers to forward. */
	withTeam(facts: RequestFacts, team: RequestTeam): RequestFacts;
	/** Encodes the headers of one attempt, as alternating names and values. */
	writeAttempt(facts: RequestFacts, instructions: SendInstructions): readonly string[];
	/** Decodes the status and headers of a target's answer. */
	readAnswer(status: number, headers: AnswerHeaders): AnswerFacts;
	/** Headers of an error response that this system sends itself. */
	writeRefusal(requestId: string): Readonly<Record<string, string>>;
	/** Returns the KV cache handle from the answer to a prefill, or none if the body cannot be decoded. */
	readPrefill(body: Uint8Array): Option<{readonly id: string; readonly tokens: number}>;
	/** Long poll for the changes in an engine's KV cache after event number `since`. The engine answers when there is a change, or after the wait. */
	cacheChangesRequest(targetId: string, since: number, waitMilliseconds: number): CacheRequest;
	/** Request for the whole content of an engine's KV cache. */
	cacheListRequest(targetId: string): CacheRequest;
	/** Decodes the answer to either request, or returns none if it cannot be decoded. */
	readCacheChanges(body: string): Option<CacheChanges>;
	/** Request that releases a KV cache handle. */
	releaseHandleRequest(id: string): {readonly method: 'DELETE'; readonly path: string};
};
