/**
Reads a model request in the OpenAI form.
*/
import {err, ok, type Result} from 'neverthrow';
import {resultCode} from '../generated/result-codes.js';
import {estimateTokens} from '../shared/estimate-tokens.js';
import {newIdentifier} from '../shared/new-identifier.js';
import type {GatewayRequest} from './gateway-request.js';
import type {ServiceCatalogue} from './service-catalogue.js';

const defaultOutputTokens = 256;
/** Requests that share this many leading characters are taken to share a prefix. */
const prefixCharacters = 2048;

type Incoming = {readonly path: string; readonly body: unknown; readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>};
type Refusal = {readonly code: number; readonly detail: string};
type Message = {readonly role?: unknown; readonly content?: unknown};

const malformed = (detail: string): Result<never, Refusal> => err({code: resultCode.malformedRequest, detail});

const promptOf = ({prompt, messages}: Readonly<Record<string, unknown>>): Result<string, Refusal> => {
	if (typeof prompt === 'string') {
		return ok(prompt);
	}

	if (!Array.isArray(messages)) {
		return malformed('body: needs "prompt" (a string) or "messages" (a list)');
	}

	const wrong = (messages as readonly Message[]).findIndex(message => typeof message?.content !== 'string');
	return wrong === -1
		? ok((messages as ReadonlyArray<{readonly content: string}>).map(({content}) => content).join('\n'))
		: malformed(`body.messages.${wrong}.content: must be a string`);
};

const outputTokensOf = ({max_tokens: mostTokens}: Readonly<Record<string, unknown>>): Result<number, Refusal> => {
	if (mostTokens === undefined) {
		return ok(defaultOutputTokens);
	}

	return Number.isInteger(mostTokens) && (mostTokens as number) > 0
		? ok(mostTokens as number)
		: malformed(`body.max_tokens: must be a positive integer, found ${JSON.stringify(mostTokens)}`);
};

const header = ({headers}: Incoming, name: string): string | undefined => headers[name] as string | undefined;

/**
Returns the request, or a numbered refusal that names the place.

@example
```
readModelRequest({path: '/v1/completions', body, headers}, catalogue);
```
*/
export const readModelRequest = (incoming: Incoming, catalogue: ServiceCatalogue): Result<GatewayRequest, Refusal> => {
	const {body, path} = incoming;
	if (typeof body !== 'object' || body === null || Array.isArray(body)) {
		return malformed('body: must be a JSON object');
	}

	const fields = body as Readonly<Record<string, unknown>>;
	const service = catalogue.byModel(String(fields.model));
	if (service === undefined) {
		return err({code: resultCode.unknownModel, detail: `body.model: ${JSON.stringify(fields.model)} is served by no service`});
	}

	return promptOf(fields).andThen(prompt => outputTokensOf(fields).map((outputTokens): GatewayRequest => {
		const promptTokens = estimateTokens(prompt);
		const requestClass = catalogue.classOf(service, header(incoming, 'x-request-class'), promptTokens);
		return {
			requestId: newIdentifier(),
			service: service.name,
			kind: 'model',
			organisation: header(incoming, 'x-organisation') ?? 'unnamed',
			importance: requestClass.importance,
			deadlineMilliseconds: requestClass.deadlineMilliseconds,
			repeatable: true,
			idempotencyKey: '',
			method: 'POST',
			path,
			body: JSON.stringify({...fields, max_tokens: outputTokens}), // eslint-disable-line @typescript-eslint/naming-convention
			promptTokens,
			outputTokens,
			prefix: prompt.slice(0, prefixCharacters),
		};
	}));
};
