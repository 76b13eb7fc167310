/**
Creates a configuration document from a submitted form of the console.
*/
import * as option from 'fp-ts/lib/Option.js';
import {err, ok, type Result} from 'neverthrow';
import {stringify} from 'smol-toml';
import {parseDocument} from '../../configuration/parse-document.js';
import type {AcceptedConfiguration} from '../../decisions/configuration/accepted-configuration.js';
import type {Configuration, RequestClass, ServiceConfiguration} from '../../generated/configuration.js';

type Fields = Readonly<Record<string, string>>;

const readNumber = (fields: Fields, name: string, current: number | undefined): number | undefined => {
	const text = fields[name];
	return text === undefined || text.trim() === '' ? current : Number(text);
};

const applyClass = (requestClass: RequestClass, fieldPrefix: string, fields: Fields): RequestClass => ({
	...requestClass,
	importance: (fields[`${fieldPrefix}.importance`] ?? requestClass.importance) as RequestClass['importance'],
	deadlineMilliseconds: readNumber(fields, `${fieldPrefix}.deadlineMilliseconds`, requestClass.deadlineMilliseconds) ?? requestClass.deadlineMilliseconds,
});

const applyService = (service: ServiceConfiguration, fields: Fields): ServiceConfiguration => {
	const goodputWeight = readNumber(fields, `${service.name}.goodputWeight`, service.roles?.goodputWeight);
	const retryShare = readNumber(fields, `${service.name}.retryShare`, service.retryShare);
	return {
		...service,
		...retryShare === undefined ? {} : {retryShare},
		...service.roles === undefined || goodputWeight === undefined ? {} : {roles: {...service.roles, goodputWeight}},
		...service.classes === undefined
			? {}
			: {
				classes: service.classes.map(requestClass => applyClass(requestClass, `${service.name}.${requestClass.name}`, fields)),
			},
	};
};

/**
Returns the document in force with the values of the form's fields. What the form
does not show stays as it is. The values are validated against the schema.

@example
```
applyForm(configurationReplica.accepted, {'models.appraiser.version': '2'});
```
*/
export const applyForm = (accepted: option.Option<AcceptedConfiguration>, fields: Fields): Result<string, readonly string[]> => {
	if (option.isNone(accepted)) {
		return err(['no configuration is in force at this gateway yet; submit the first one with the command line']);
	}

	if (accepted.value.generation !== Number(fields.basedOn)) {
		const {generation, author} = accepted.value;
		const formGeneration = fields.basedOn ?? 'none';
		return err([`the form was made for generation ${formGeneration}, but ${generation} from ${author} is in force; look at the new values and submit again`]);
	}

	return parseDocument(accepted.value.document).andThen(document => {
		const changed: Configuration = {
			...document,
			...document.models === undefined ? {} : {models: document.models.map(model => ({...model, version: fields[`models.${model.name}.version`] ?? model.version}))},
			services: document.services.map(service => applyService(service, fields)) as Configuration['services'],
		};
		const text = stringify(changed);
		return parseDocument(text).andThen(() => ok(text));
	});
};
