//! Classification of the workload's statements by the proxies' classifier.

use hookpoint_coordination::request::Access;
use hookpoint_protocol::classify::Classifier;
use hookpoint_workload::deployment::Application;
use hookpoint_workload::history::{SessionNumber, WriteKind};
use hookpoint_workload::sql::{self, BillingLine, EntryWrite};

const SESSION: SessionNumber = SessionNumber(1);
const LINE: BillingLine = BillingLine {
    session: SESSION,
    run: 1,
    attempt: 1,
    line: 1,
};

fn write(application: Application, request: Option<&str>) -> String {
    EntryWrite {
        session: SESSION,
        sequence: 1,
        attempt: 1,
        kind: WriteKind::ChargeNotice,
        request,
    }
    .statement(application)
}

#[test]
fn reads_are_classified_as_reads_and_writes_as_writes() {
    let classifier = Classifier::new();
    for application in [Application::Messaging, Application::Metering] {
        let table = [
            (sql::read_own(application, SESSION, "1-1", 20), Access::Read),
            (sql::read_other(application, SESSION, "1-1"), Access::Read),
            (LINE.count(), Access::Read),
            (write(application, None), Access::Write),
            (LINE.insert(), Access::Write),
        ];
        for (statement, access) in table {
            let class = classifier.classify(&statement);
            assert_eq!(class.access, access, "{statement}");
            assert_eq!(class.unsupported, None, "{statement}");
        }
    }
}

#[test]
fn request_ids_are_extracted() {
    let class = Classifier::new().classify(&write(Application::Messaging, Some("7-1-1")));
    let identifier = class.request_id.map(|request| request.to_string());
    assert_eq!(identifier.as_deref(), Some("7-1-1"));
}
