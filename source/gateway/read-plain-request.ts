/**
Parses a call to a plain service.
*/
import {err, ok, type Result} from 'neverthrow';
import {resultCode} from '../generated/result-codes.js';
import {newIdentifier} from '../shared/new-identifier.js';
import type {GatewayRequest} from './gateway-request.js';
import type {ServiceCatalogue} from './service-catalogue.js';

type IncomingCall = {
	readonly service: string;
	readonly method: string;
	/** Path after the service's name, with the query. */
	readonly path: string;
	readonly body: string;
	readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
};

/**
Returns the request, or a refusal with its code and a detail that names the invalid field.

@example
```
readPlainRequest({service: 'auction-floor', method: 'POST', path: '/bids', body, headers}, catalogue);
```
*/
export const readPlainRequest = ({service: name, method, path, body, headers}: IncomingCall, catalogue: ServiceCatalogue): Result<GatewayRequest, {readonly code: number; readonly detail: string}> => {
	const service = catalogue.byName(name);
	if (service?.kind !== 'plain') {
		return err({code: resultCode.unknownService, detail: `path: "${name}" is not a plain service`});
	}

	const requestClass = catalogue.classOf(service, headers['x-request-class'] as string | undefined, 0);
	return ok({
		requestId: newIdentifier(),
		service: name,
		kind: 'plain',
		organisation: (headers['x-organisation'] as string | undefined) ?? 'unnamed',
		importance: requestClass.importance,
		deadlineMilliseconds: requestClass.deadlineMilliseconds,
		repeatable: catalogue.isRepeatable(service, method, path),
		idempotencyKey: (headers['idempotency-key'] as string | undefined) ?? '',
		method,
		path,
		body,
		promptTokens: 0,
		outputTokens: 0,
		prefix: '',
	});
};
