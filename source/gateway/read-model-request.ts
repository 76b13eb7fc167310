/**
Parses a model request in the format of OpenAI's API.
*/
import {err, ok, type Result} from 'neverthrow';
import {resultCode} from '../generated/result-codes.js';
import {estimateTokens} from '../shared/estimate-tokens.js';
import {newIdentifier} from '../shared/new-identifier.js';
import type {GatewayRequest} from './gateway-request.js';
import type {ServiceCatalogue} from './service-catalogue.js';

const defaultOutputTokens = 256;
/** Prompts with equal text up to this length count as having the same prefix. */
const maxPrefixCharacters = 2048;

type IncomingRequest = {readonly path: string; readonly body: unknown; readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>};
type Refusal = {readonly code: number; readonly detail: string};
type Message = {readonly role?: unknown; readonly content?: unknown};

const malformed = (detail: string): Result<never, Refusal> => err({code: resultCode.malformedRequest, detail});

const readPrompt = ({prompt, messages}: Readonly<Record<string, unknown>>): Result<string, Refusal> => {
	if (typeof prompt === 'string') {
		return ok(prompt);
	}

	if (!Array.isArray(messages)) {
		return malformed('body: needs "prompt" (a string) or "messages" (a list)');
	}

	const invalidIndex = (messages as readonly Message[]).findIndex(message => typeof message?.content !== 'string');
	return invalidIndex === -1
		? ok((messages as ReadonlyArray<{readonly content: string}>).map(({content}) => content).join('\n'))
		: malformed(`body.messages.${invalidIndex}.content: must be a string`);
};

const readOutputTokens = ({max_tokens: maxTokens}: Readonly<Record<string, unknown>>): Result<number, Refusal> => {
	if (maxTokens === undefined) {
		return ok(defaultOutputTokens);
	}

	return Number.isInteger(maxTokens) && (maxTokens as number) > 0
		? ok(maxTokens as number)
		: malformed(`body.max_tokens: must be a positive integer, found ${JSON.stringify(maxTokens)}`);
};

const readHeader = ({headers}: IncomingRequest, name: string): string | undefined => headers[name] as string | undefined;

/**
Returns the request, or a refusal with its code and a detail that names the invalid field.

@example
```
readModelRequest({path: '/v1/completions', body, headers}, catalogue);
```
*/
export const readModelRequest = (incoming: IncomingRequest, catalogue: ServiceCatalogue): Result<GatewayRequest, Refusal> => {
	const {body, path} = incoming;
	if (typeof body !== 'object' || body === null || Array.isArray(body)) {
		return malformed('body: must be a JSON object');
	}

	const fields = body as Readonly<Record<string, unknown>>;
	const service = catalogue.byModel(String(fields.model));
	if (service === undefined) {
		return err({code: resultCode.unknownModel, detail: `body.model: ${JSON.stringify(fields.model)} is served by no service`});
	}

	return readPrompt(fields).andThen(prompt => readOutputTokens(fields).map((outputTokens): GatewayRequest => {
		const promptTokens = estimateTokens(prompt);
		const requestClass = catalogue.classOf(service, readHeader(incoming, 'x-request-class'), promptTokens);
		return {
			requestId: newIdentifier(),
			service: service.name,
			kind: 'model',
			organisation: readHeader(incoming, 'x-organisation') ?? 'unnamed',
			importance: requestClass.importance,
			deadlineMilliseconds: requestClass.deadlineMilliseconds,
			repeatable: true,
			idempotencyKey: '',
			method: 'POST',
			path,
			body: JSON.stringify({...fields, max_tokens: outputTokens}), // eslint-disable-line @typescript-eslint/naming-convention
			promptTokens,
			outputTokens,
			prefix: prompt.slice(0, maxPrefixCharacters),
		};
	}));
};
